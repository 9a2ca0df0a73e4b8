//! Tests of socket options.

use kitepass_net::socket::{listen, set_user_timeout};
use kitepass_time::Duration;
use std::net::SocketAddr;

#[test]
fn user_timeout_is_never_the_system_default() {
    let socket = listen(&SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    for (micros, millis) in [(1_500_000, 1_500), (999, 1), (-1, 1)] {
        set_user_timeout(&socket, Duration::from_micros(micros)).unwrap();
        assert_eq!(rustix::net::sockopt::tcp_user_timeout(&socket), Ok(millis));
    }
}
