use super::*;
use bytes::Bytes;
use rstest::rstest;

const START: Timestamp = Timestamp::from_micros(1_000_000_000);

fn balancer(node_id: &str) -> LoadBalancer {
    let regions =
        [("a1", "a"), ("a2", "a"), ("b1", "b")].map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    let mut balancer = LoadBalancer::new(7, node_id, "a1", &regions.into());
    balancer.set_live_gateways((0..12).map(|n| format!("g{n}")).collect());
    balancer.set_slow_start_rates([("l".into(), 6.7)].into_iter());
    balancer
}

fn update(balancer: &mut LoadBalancer, name: &str, zone: &str, is_draining: bool, slow_start_ms: u32) {
    let value = format!(
        r#"{{"line":"l","address":"10.0.0.1:80","district":"{zone}","closing":{is_draining},"cold-ms":{slow_start_ms}}}"#
    );
    let value = Some(Bytes::from(value));
    balancer.update_backend(START, &Item { kind: Kind::Backend, name: name.into(), version: 1, value });
}

fn select(
    balancer: &mut LoadBalancer,
    regions: &[Arc<str>],
    tried_backends: &[Arc<str>],
    idle: &str,
) -> Option<String> {
    let has_idle_connection = |backend_id: &Arc<str>| **backend_id == *idle;
    let request = SelectionRequest {
        service: &"l".into(),
        allowed_regions: [regions, &[]],
        tried_backends,
        has_idle_connection: &has_idle_connection,
    };
    balancer.select(START, &request).map(|backend_id| backend_id.to_string())
}

/// No attempt goes to a draining backend, to one in an evacuated zone, to one that the request has already tried, or to
/// one outside the allowed regions.
#[rstest]
#[case::open(false, 0, &[], &[], &[], true)]
#[case::draining(true, 0, &[], &[], &[], false)]
#[case::evacuated(false, 0, &["a2"], &[], &[], false)]
#[case::tried(false, 0, &[], &[], &["x"], false)]
#[case::region_not_allowed(false, 0, &[], &["b"], &[], false)]
#[case::region_allowed(false, 0, &[], &["b", "a"], &[], true)]
fn only_an_eligible_backend_is_selected(
    #[case] is_draining: bool,
    #[case] slow_start_ms: u32,
    #[case] evacuated: &[&str],
    #[case] regions: &[&str],
    #[case] tried_backends: &[&str],
    #[case] is_selected: bool,
) {
    let arcs = |names: &[&str]| names.iter().map(|name| Arc::from(*name)).collect::<Vec<Arc<str>>>();
    let mut balancer = balancer("g0");
    update(&mut balancer, "x", "a2", is_draining, slow_start_ms);
    balancer.set_evacuated_zones(START, &arcs(evacuated).into_iter().collect());
    let selected = select(&mut balancer, &arcs(regions), &arcs(tried_backends), "");
    assert_eq!(selected.is_some(), is_selected);
}

/// The sum over all gateways, which do not communicate, stays within what a warming-up backend can handle in every
/// second.
#[test]
fn a_warming_up_backend_gets_few_requests_from_all_gateways_together() {
    let mut gateways: Vec<LoadBalancer> = (0..12).map(|n| balancer(&format!("g{n}"))).collect();
    let (mut sent, service) = (Vec::new(), "l".into());
    for gateway in &mut gateways {
        update(gateway, "x", "a1", false, 60_000);
    }
    for millis in 0..20_000i64 {
        let now = START + Duration::from_micros(millis * 1000);
        let request = SelectionRequest {
            service: &service,
            allowed_regions: [&[], &[]],
            tried_backends: &[],
            has_idle_connection: &|_| false,
        };
        sent.extend(gateways.iter_mut().filter_map(|g| g.select(now, &request)).map(|_| millis));
    }
    for end in 1_000..20_000 {
        let within = sent.iter().filter(|at| (end - 1_000..end).contains(*at)).count() as f64;
        assert!(within <= 6.7, "{within} in the second before {end}");
    }
    assert!(sent.len() > 40, "{}", sent.len());
}

/// Failed backends are avoided, near ones are preferred over far ones, and idle connections over new ones.
#[test]
fn the_cheapest_backend_is_selected() {
    let mut balancer = balancer("g0");
    ["x", "y"].into_iter().for_each(|name| update(&mut balancer, name, "a1", false, 0));
    update(&mut balancer, "far", "b1", false, 0);
    let count = |balancer: &mut LoadBalancer, name: &str, idle: &str| {
        let selected: Vec<String> = (0..200)
            .filter_map(|_| {
                let selected = select(balancer, &[], &[], idle)?;
                balancer.attempt_ended(START, &selected, AttemptOutcome::Abandoned, Duration::ZERO);
                Some(selected)
            })
            .collect();
        selected.iter().filter(|s| *s == name).count()
    };
    assert_eq!(count(&mut balancer, "far", ""), 0);
    assert_eq!(count(&mut balancer, "y", "y"), 200);
    balancer.attempt_ended(START, "y", AttemptOutcome::Unreachable, Duration::ZERO);
    assert_eq!(count(&mut balancer, "x", "y"), 200);
    // If both near backends are unreachable, the far one is used.
    balancer.attempt_ended(START, "x", AttemptOutcome::Unreachable, Duration::ZERO);
    assert_eq!(count(&mut balancer, "far", ""), 200);
}
