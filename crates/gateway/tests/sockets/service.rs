//! Clients and backends that behave badly, and usual ones served beside them.

use crate::stand::*;
use crate::{see_through, serving, serving_with};
use std::time::Instant;

/// Whether the connection ends within the time that its client is owed, whatever it says before.
fn ends_in_time(line: &mut Line, begun: Instant) -> bool {
    while line.hear_or_end().is_some() {}
    begun.elapsed().as_millis() < 3000
}

#[test]
fn whoever_says_nothing_or_never_ends_is_let_go_in_time_and_usual_clients_are_served_meanwhile() {
    let (gateway, _watch, stand) = serving(128);
    let begun = Instant::now();
    let mut silent: Vec<_> = (0..40).map(|_| gateway.line()).collect();
    let (mut half, mut slow) = (gateway.line(), gateway.line());
    half.say("POST /door/00000000b4d65521 HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
    slow.say("GET /look/00000000b4d65521 HTTP/1.1\r\nX-A: ");
    let mut usual = gateway.line();
    let mut line = see_through(&mut usual, &stand, "t1");
    // Byte by byte, for as long as it is let: each one comes in time, the head never does.
    let mut left = 8000;
    while begun.elapsed().as_millis() < 2800 {
        left -= i32::from(left > 0 && slow.try_say("a")); // less than a head may hold
        usual.say(command("once", "t2").replace("units=1", "units=0.001") + "\r\n");
        line.hear();
        line.say(ok("fine"));
        assert_eq!(usual.hear().body, b"fine");
    }
    assert_eq!((slow.hear().status(), half.hear().status()), (408, 408));
    assert!(begun.elapsed().as_millis() < 3000);
    for line in silent.iter_mut().chain([&mut half]) {
        assert!(ends_in_time(line, begun));
    }
    // One that asks once and holds on is let go as well, if later.
    assert!(usual.ends());
}

#[test]
fn sixty_megabytes_are_not_read_and_hundreds_of_bad_commands_at_once_all_answered() {
    let (gateway, _watch, stand) = serving(128);
    let mut hog = gateway.line();
    hog.say(command("door", "t1") + "Idempotency-Key: k\r\nContent-Length: 60000000\r\n\r\n");
    let piece = vec![b'a'; 1 << 16];
    let begun = Instant::now();
    let mut sent = 0;
    while sent < 60_000_000 && hog.try_say(&piece) {
        sent += piece.len();
    }
    assert!(sent < 60_000_000 && begun.elapsed().as_millis() < 3000, "{sent}");
    let mut many = gateway.line();
    many.say((command("look", "t2").replace("units=1", "units=9") + "\r\n").repeat(300));
    see_through(&mut gateway.line(), &stand, "t3");
    assert!((0..300).all(|_| many.hear().status() == 400));
    assert!(stand.is_untouched());
}

#[test]
fn those_that_have_rested_longest_give_way_and_none_that_was_just_let_in() {
    let (gateway, _watch, stand) = serving_with(96, 12);
    // A third of the descriptors is for clients, and one place of it stays free.
    let rest = |_| {
        let mut line = gateway.line();
        line.say("GET /healthz HTTP/1.1\r\nHost: g\r\n\r\n").hear();
        line
    };
    let mut at_rest: Vec<_> = (0..31).map(rest).collect();
    // These connect together, before any of them says a word.
    let mut usual: Vec<_> = (0..5).map(|_| gateway.line()).collect();
    for line in &mut at_rest[..4] {
        assert!(line.ends());
    }
    for (n, client) in usual.iter_mut().enumerate() {
        see_through(client, &stand, &format!("t{n}")).end_sending();
    }
}

#[test]
fn the_id_of_a_command_that_is_open_elsewhere_is_refused_and_that_one_goes_on() {
    let (gateway, _watch, stand) = serving_with(128, 12);
    let (mut first, mut other) = (gateway.line(), gateway.line());
    first.say(command("once", "t1") + "\r\n");
    let mut line = stand.line();
    line.hear();
    assert_eq!(other.say(command("look", "t1") + "\r\n").hear().status(), 400);
    line.say(ok("fine"));
    assert_eq!(first.hear().body, b"fine");
    // It is free again, and so is that of a command whose client has gone.
    other.say(command("once", "t1") + "\r\n");
    line.hear();
    drop(other);
    let mut again = gateway.line();
    again.say(command("once", "t1") + "\r\n");
    let mut line = stand.line();
    line.hear();
    line.say(ok("fine"));
    assert_eq!(again.hear().body, b"fine");
}

#[test]
fn an_answer_that_never_comes_whole_is_given_up_long_before_the_commands_time() {
    let (gateway, _watch, stand) = serving_with(128, 12);
    let interim = "HTTP/1.1 103 Early\r\n\r\n".repeat(9) + &ok("late");
    for answer in
        ["\u{1}\u{2}noise", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", "HTTP/1.1 2", &interim]
    {
        let (mut client, begun) = (gateway.line(), Instant::now());
        client.say(command("once", "t1") + "\r\n");
        let mut line = stand.line();
        line.hear();
        line.say(answer);
        assert_eq!(client.hear().status(), 502, "{answer}");
        assert!(line.ends() && begun.elapsed().as_millis() < 2000, "{answer}");
    }
    // What stands behind a good answer costs the connection, not the answer.
    let mut client = gateway.line();
    client.say(command("once", "t2") + "\r\n");
    let mut line = stand.line();
    line.hear();
    line.say(ok("fine") + &ok("fine"));
    assert_eq!(client.hear().body, b"fine");
    assert!(line.ends());
    let mut line = see_through(&mut client, &stand, "t3");
    line.say("noise"); // later, while it rests
    see_through(&mut client, &stand, "t4");
}

#[test]
fn backends_and_clients_that_come_and_go_leave_no_descriptor_behind() {
    let (gateway, mut watch, stand) = serving(128);
    let mut last = see_through(&mut gateway.line(), &stand, "t");
    let before = gateway.descriptors();
    for n in 0..200 {
        // A new backend at the address of the one that goes: nothing of the old one serves it.
        watch.tell(10 + n, true, &[backend(&format!("n{n}"), stand.address, "ready")]);
        assert!(last.ends());
        let mut client = gateway.line();
        // Once-only: another would be cut and sent again where the machine is slow, over a line that nobody answers.
        client.say(command("once", "t").replace("b4d65521", &format!("{n:08x}")) + "\r\n");
        last = stand.line();
        last.hear();
        last.say(ok("fine"));
        assert_eq!(client.hear().body, b"fine");
    }
    // Clients that have just left may not have been read yet.
    gateway.wait_until(200);
    assert!(gateway.descriptors() <= before + 4, "{} after {before}", gateway.descriptors());
}

#[test]
fn connections_of_all_kinds_that_come_and_go_leave_no_memory_behind() {
    let (gateway, mut watch, stand) = serving(128);
    let large = "a".repeat(60_000);
    let mut round = |n: u64| {
        watch.tell(10 + n, true, &[backend(&format!("n{n}"), stand.address, "ready")]);
        let mut client = gateway.line();
        let head = command("once", &format!("t{n}")) + "Content-Length: 60000\r\n\r\n" + &large;
        client.say(head);
        let mut line = stand.line();
        assert_eq!(line.hear().body.len(), 60_000);
        line.say(ok(&large));
        assert_eq!(client.hear().body.len(), 60_000);
        // Bad ones beside them: half a body, and a head that does not end.
        gateway.line().say(command("door", "h") + "Content-Length: 60000\r\n\r\n" + &large[..30_000]);
        gateway.line().say(command("look", "h") + "X-Long: " + &large[..15_000]);
    };
    (0..40).for_each(&mut round);
    gateway.wait_until(200);
    let before = gateway.memory_kb();
    (40..240).for_each(&mut round);
    gateway.wait_until(200);
    // Of 24 MB that went through twice, less than a tenth of a body for each round.
    assert!(gateway.memory_kb() <= before + 1000, "{} after {before}", gateway.memory_kb());
}
