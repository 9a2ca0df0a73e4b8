//! Simulated gateways without clients: what a gateway's control session holds and says.

use crate::control_plane::LATENCY_WITHIN_REGION;
use crate::deployment::{tenant_name, NODES, ZONES};
use crate::simulation::{Event, Simulation, SECOND};
use kitepass_config::{Item, ItemStore, Kind};
use kitepass_coordination::protocol::{
    pack, BucketDigests, Heartbeat, Hello, ItemMessage, Items, Message, TenantUsage, UsageReport,
};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

pub(crate) const HEARTBEAT_INTERVAL: i64 = SECOND / 2;
/// Time between two usage reports of a gateway.
pub(crate) const REPORT_INTERVAL: i64 = SECOND;
/// Tenants to which a gateway's requests of a second belong: 50,000 requests a second over 600 gateways.
pub(crate) const TENANTS_PER_REPORT: usize = 83;
/// Reports after a tenant's last request in which a gateway still reads its count, as the data plane's quota does.
const REPORTS_AFTER_LAST_REQUEST: usize = 3;
/// A session's number is its gateway's, and so much more for each connection: the last digits tell the gateway.
pub(crate) const SESSION_STEP: u64 = 10_000;
/// Item stores that gateways share, at most.
const MAX_SHARED_STORES: usize = 64;

pub(crate) struct Gateway {
    hello: Hello,
    /// The node that its session is with.
    pub(crate) node: usize,
    pub(crate) session: u64,
    item_store: Rc<ItemStore>,
    /// It has been sent all that it lacked.
    has_caught_up: bool,
    /// It has been sent the membership.
    knows_membership: bool,
    pub(crate) is_ready: bool,
    /// Tenants of its last reports, the newest at the back.
    reported: VecDeque<Vec<u32>>,
    last_request_id: u64,
}

impl Gateway {
    fn new(n: usize) -> Gateway {
        let zone = ZONES[n % ZONES.len()];
        Gateway {
            hello: Hello {
                node_id: format!("counter-{zone}-{n}"),
                address: format!("10.1.{}.{}", n / 250, n % 250),
                zone: zone.to_owned(),
                region: zone[..1].to_owned(),
                incarnation: (n as u64 + 1) << 32,
                client_address: format!("10.1.{}.{}:8686", n / 250, n % 250),
                ..Hello::default()
            },
            node: n % NODES,
            session: n as u64,
            item_store: Rc::default(),
            has_caught_up: false,
            knows_membership: false,
            is_ready: false,
            reported: VecDeque::new(),
            last_request_id: 0,
        }
    }

    /// It starts anew, with nothing of what it held.
    fn restart(&mut self) {
        self.session += SESSION_STEP;
        self.hello.incarnation += SESSION_STEP;
        self.item_store = Rc::default();
        self.has_caught_up = false;
        self.knows_membership = false;
        self.is_ready = false;
    }

    pub(crate) fn is_connected(&self) -> bool {
        self.session >= SESSION_STEP
    }
}

impl Simulation {
    /// Puts all gateways on the six nodes, with heartbeats and reports at drawn moments, and waits until all are ready.
    pub(crate) fn connect_gateways(&mut self) {
        for n in 0..self.deployment.gateways {
            self.gateways.push(Gateway::new(n));
            let offsets: Vec<i64> = (0..3).map(|_| self.rng.rand_range(0..SECOND as u64) as i64).collect();
            self.schedule(5 * offsets[0], Event::Connect(n));
            self.schedule(offsets[1] / 2, Event::Heartbeat(n));
            self.schedule(offsets[2], Event::Report(n));
        }
        self.run(12 * SECOND);
        let ready = self.gateways.iter().filter(|gateway| gateway.is_ready).count();
        assert_eq!(ready, self.deployment.gateways, "not all gateways are ready");
    }

    /// The gateway of a session that is not superseded.
    pub(crate) fn gateway_of(&self, session: u64) -> Option<usize> {
        let n = (session % SESSION_STEP) as usize;
        (self.gateways[n].session == session).then_some(n)
    }

    pub(crate) fn connect_gateway(&mut self, n: usize) {
        let gateway = &mut self.gateways[n];
        gateway.restart();
        let (node, session, hello) = (gateway.node, gateway.session, gateway.hello.clone());
        let mut frame = Vec::new();
        pack(Message::Hello(hello.clone()), &mut frame);
        self.gateways_load.sent(frame.len());
        self.unpack(node, &frame);
        self.call(node, |state_machine, now| state_machine.session_opened(now, session, hello));
        self.send_digests(n);
        self.send_heartbeat(n);
    }

    fn send_digests(&mut self, n: usize) {
        let digests = self.gateways[n].item_store.buckets().to_vec();
        self.send_from_gateway(n, Message::BucketDigests(BucketDigests { digests, wants_reply: false }));
    }

    pub(crate) fn send_heartbeat(&mut self, n: usize) {
        let Gateway { item_store, is_ready, .. } = &self.gateways[n];
        let heartbeat =
            Heartbeat { digest: item_store.digest(), is_ready: *is_ready, ..Heartbeat::default() };
        self.send_from_gateway(n, Message::Heartbeat(heartbeat));
    }

    fn send_from_gateway(&mut self, n: usize, message: Message) {
        let mut frame = Vec::new();
        pack(message, &mut frame);
        self.gateways_load.sent(frame.len());
        let session = self.gateways[n].session;
        self.schedule(LATENCY_WITHIN_REGION, Event::SessionFrame { gateway: n, session, frame });
    }

    /// A gateway receives a message, and does as the data plane's control session does.
    pub(crate) fn receive_at_gateway(&mut self, n: usize, message: Message) {
        match message {
            Message::BucketDigests(digests) => self.reconcile(n, &digests),
            Message::MembershipUpdate(_) => self.gateways[n].knows_membership = true,
            Message::UsageTotals(totals) if totals.is_mid_period => {
                let sent = self.grants_requested.remove(&(n, totals.request_id)).expect("requested");
                self.grant_waits.push(self.now - sent);
                return;
            }
            _ => return,
        }
        let gateway = &mut self.gateways[n];
        if !gateway.is_ready && gateway.has_caught_up && gateway.knows_membership {
            gateway.is_ready = true;
            self.send_heartbeat(n);
        }
    }

    /// Sends what the node lacks, and takes note when the gateway lacks nothing.
    fn reconcile(&mut self, n: usize, digests: &BucketDigests) {
        let item_store = self.gateways[n].item_store.clone();
        let items: Vec<ItemMessage> = item_store.differing(&digests.digests).map(ItemMessage::from).collect();
        if !items.is_empty() {
            self.send_from_gateway(n, Message::Items(Items { items }));
        }
        if digests.wants_reply {
            self.gateways[n].has_caught_up = true;
        } else {
            self.send_digests(n);
        }
    }

    /// A gateway merges items. Gateways that hold the same items share one store.
    pub(crate) fn merge_at_gateway(&mut self, n: usize, items: &[Item]) {
        let mut hasher = DefaultHasher::new();
        items.iter().for_each(|item| (item.kind, &item.name, item.version).hash(&mut hasher));
        let item_store = &self.gateways[n].item_store;
        let key = (item_store.digest(), hasher.finish());
        if self.shared_stores.len() > MAX_SHARED_STORES {
            self.shared_stores.clear();
        }
        let merged = self.shared_stores.entry(key).or_insert_with(|| {
            let mut item_store = ItemStore::clone(item_store);
            items.iter().for_each(|item| _ = item_store.merge(item.clone()));
            Rc::new(item_store)
        });
        self.gateways[n].item_store = merged.clone();
        if items.iter().any(|item| item.kind != Kind::Backend && item.version == self.watched.version) {
            self.watched.reached += 1;
            self.watched.last = self.now;
        }
    }

    /// A gateway reports the requests of its tenants since its last report, and reads the counts of those of some
    /// reports before.
    pub(crate) fn report_usage(&mut self, n: usize) {
        let tenant_count = self.deployment.tenants as u64;
        let mut tenants: Vec<u32> =
            (0..TENANTS_PER_REPORT).map(|_| self.rng.rand_range(0..tenant_count) as u32).collect();
        tenants.sort_unstable();
        let gateway = &mut self.gateways[n];
        gateway.reported.push_back(tenants);
        if gateway.reported.len() > REPORTS_AFTER_LAST_REQUEST + 1 {
            gateway.reported.pop_front();
        }
        let mut offered: BTreeMap<u32, u32> =
            gateway.reported.iter().flatten().map(|tenant| (*tenant, 0)).collect();
        for tenant in gateway.reported.back().into_iter().flatten() {
            *offered.entry(*tenant).or_default() += 1;
        }
        let usage = |(tenant, offered)| TenantUsage {
            tenant: tenant_name(tenant),
            offered,
            forwarded: offered,
            ..TenantUsage::default()
        };
        let tenants = offered.into_iter().map(usage).collect();
        self.send_usage(n, tenants, false);
    }

    /// A gateway requests a grant for one request of a tenant: it holds none in advance, as it sees each tenant rarely.
    pub(crate) fn request_grant(&mut self, n: usize) {
        let tenant = self.rng.rand_range(0..self.deployment.tenants as u64) as u32;
        let usage = TenantUsage { tenant: tenant_name(tenant), requested: 1, ..TenantUsage::default() };
        let request_id = self.send_usage(n, vec![usage], true);
        self.grants_requested.insert((n, request_id), self.now);
    }

    fn send_usage(&mut self, n: usize, tenants: Vec<TenantUsage>, is_mid_period: bool) -> u64 {
        let gateway = &mut self.gateways[n];
        gateway.last_request_id += 1;
        let request_id = gateway.last_request_id;
        let report = UsageReport {
            request_id,
            node_id: gateway.hello.node_id.clone(),
            tenants,
            incarnation: gateway.hello.incarnation,
            is_mid_period,
        };
        self.send_from_gateway(n, Message::UsageReport(report));
        request_id
    }
}
