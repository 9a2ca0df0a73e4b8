//! Handling of complete request heads: validation, routing, quota admission and the start of the request.

use super::{Server, Timer};
use crate::ids::{ClientId, RequestId};
use crate::quota::Admission;
use crate::request::{Request, RequestInfo};
use kitepass_config::{Route, RoutingTable, Tenant};
use kitepass_coordination::usage::RateLimit;
use kitepass_net::http::body::{Framing, Head};
use kitepass_net::http::parse_decimal;
use kitepass_time::{Duration, Timestamp};
use std::sync::Arc;

/// `Retry-After` in milliseconds for requests that arrive before a configuration is active.
const NOT_READY_RETRY_MS: u64 = 500;
/// `Retry-After` in milliseconds for requests beyond the quota.
pub(super) const QUOTA_RETRY_MS: u64 = 1000;

/// The response to a request that is not accepted.
struct Rejection {
    status: u16,
    retry_after_ms: Option<u64>,
    /// Whether the connection is closed after the response.
    closes_connection: bool,
}

impl Rejection {
    fn of(status: u16) -> Rejection {
        Rejection { status, retry_after_ms: None, closes_connection: false }
    }
}

/// The route and tenant that a request matches in the active configuration.
struct RouteMatch {
    routing_table: Arc<RoutingTable>,
    route: Arc<Route>,
    tenant: Option<Arc<Tenant>>,
}

impl Server {
    /// Starts the request whose head has been read, or responds immediately.
    pub(super) fn handle_request_head(&mut self, now: Timestamp, id: ClientId, head: Head, framing: Framing) {
        let client = self.clients.get_mut(&id).expect("its head was just read");
        client.discards_body = true; // until the request starts and reads the body
        if client.is_readiness_check {
            let status = self.readiness_status();
            return self.write_local_response(id, status, None);
        }
        let content_length = match framing {
            Framing::Empty => Some(0),
            Framing::ContentLength(length) => Some(length),
            Framing::Chunked | Framing::UntilClose => None,
        };
        let accepted = self.check_head(&head, content_length).and_then(|route_match| {
            let request = RequestId(self.allocate_id());
            let admission = self.admit(now, &route_match, request)?;
            Ok((route_match, request, admission))
        });
        match accepted {
            Ok((route_match, request, admission)) => {
                let info = self.request_info(now, id, head, content_length, route_match);
                self.start_request(request, info, admission == Admission::Pending);
            }
            Err(rejection) => {
                let client = self.clients.get_mut(&id).expect("its head was just read");
                client.close_after_response |= rejection.closes_connection;
                self.write_local_response(id, rejection.status, rejection.retry_after_ms);
            }
        }
    }

    /// Validates a request and determines its route and tenant.
    fn check_head(&self, head: &Head, content_length: Option<u64>) -> Result<RouteMatch, Rejection> {
        let Some(routing_table) = self.configuration.routing_table() else {
            return Err(Rejection { retry_after_ms: Some(NOT_READY_RETRY_MS), ..Rejection::of(503) });
        };
        if content_length.is_some_and(|length| length > routing_table.limits.max_body_bytes) {
            return Err(Rejection { closes_connection: true, ..Rejection::of(413) });
        }
        let host = head.field("host").unwrap_or_default();
        let route = routing_table.route(host, head.start_line_part(1)).cloned().ok_or(Rejection::of(404))?;
        let mut tenant = None;
        if routing_table.has_tenants() && !route.allows_anonymous {
            let key = head.field("authorization").and_then(|value| value.strip_prefix(b"Bearer "));
            let found = key.and_then(|key| routing_table.tenant_index(key.trim_ascii()));
            tenant = Some(routing_table.tenants[found.ok_or(Rejection::of(401))?].clone());
        }
        if head.field("x-try-id").is_none_or(<[u8]>::is_empty) {
            return Err(Rejection::of(400));
        }
        Ok(RouteMatch { routing_table: routing_table.clone(), route, tenant })
    }

    /// Applies the tenant's quota to a request.
    fn admit(
        &mut self,
        now: Timestamp,
        route_match: &RouteMatch,
        request: RequestId,
    ) -> Result<Admission, Rejection> {
        let Some(tenant) = &route_match.tenant else { return Ok(Admission::Admitted) };
        let rate_limit = RateLimit { rate: tenant.rate, burst: tenant.burst };
        match self.quota.admit(now, &tenant.name, rate_limit, request) {
            Admission::Rejected => {
                Err(Rejection { retry_after_ms: Some(QUOTA_RETRY_MS), ..Rejection::of(429) })
            }
            admission => Ok(admission),
        }
    }

    fn request_info(
        &mut self,
        now: Timestamp,
        client: ClientId,
        head: Head,
        content_length: Option<u64>,
        route_match: RouteMatch,
    ) -> RequestInfo {
        let RouteMatch { routing_table, route, tenant } = route_match;
        let max_time_ms = u64::from(route.deadline_ms);
        let time_left_ms = head.field("x-time-left-ms").and_then(parse_decimal).unwrap_or(max_time_ms);
        let time_left = Duration::from_micros(time_left_ms.min(max_time_ms) as i64 * 1000);
        RequestInfo {
            client,
            head,
            service: self.choose_service(&route),
            route,
            tenant,
            routing_table,
            arrived_at: now,
            deadline: now + time_left,
            content_length,
        }
    }

    /// Chooses one of the services of a route at random, according to their weights.
    fn choose_service(&mut self, route: &Route) -> Arc<str> {
        let total_weight: f64 = route.services.iter().map(|(_, weight)| weight).sum();
        let mut remaining = self.rng.rand_float() * total_weight;
        for (service, weight) in &route.services {
            if remaining < *weight {
                return service.clone();
            }
            remaining -= weight;
        }
        let last = route.services.iter().rev().find(|(_, weight)| *weight > 0.0);
        last.map_or_else(|| "".into(), |(service, _)| service.clone())
    }

    /// Starts a request whose body remains to be read.
    fn start_request(&mut self, id: RequestId, info: RequestInfo, awaits_quota: bool) {
        let client = self.clients.get_mut(&info.client).expect("its head was just read");
        if info.head.expects_continue() {
            client.connection.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        client.discards_body = false;
        client.request = Some(id);
        self.retry_budget.record_request(info.arrived_at, &info.service);
        self.timers.schedule(info.deadline, Timer::Deadline(id));
        let mut request = Request::new(info);
        request.awaits_quota = awaits_quota;
        self.requests.insert(id, request);
    }
}
