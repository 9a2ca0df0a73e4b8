//! The messages whose encoding is in `messages.txt`. In the complete messages, the fields have different values, and no
//! struct is filled with defaults, so that this file does not compile until a new field is added here. As all booleans that
//! are true have the same encoding, there are additional messages in which only one of them is set.

use bytes::Bytes;
use kitepass_coordination::consensus::{Ballot, ProposalMessage};
use kitepass_coordination::membership::{Replica, ReplicaSet};
use kitepass_coordination::protocol::{
    AcceptRequest, AcceptResponse, BucketDigests, Commit, Heartbeat, Hello, ItemMessage, Items, LeaseRequest,
    LeaseVote, Member, MembershipUpdate, Message, PrepareRequest, PrepareResponse, PurgeTombstones,
    RejectedProposal, SessionList, TenantTotal, TenantUsage, UsageReport, UsageTotals, VersionMessage,
};
use prost::Message as _;

/// The name of a message in the golden file, and the message.
pub(crate) type Sample = (&'static str, Message);

pub(crate) fn hello() -> Hello {
    Hello {
        node_id: "node-1".into(),
        address: "10.1.2.3".into(),
        zone: "zone-a".into(),
        region: "region-a".into(),
        incarnation: 0x1112_1314_1516_1718,
        is_control_plane: true,
        client_address: "203.0.113.7:8080".into(),
        is_serving: true,
        is_complete: true,
        replica_id: 0x2122_2324_2526_2728,
    }
}

pub(crate) fn heartbeat() -> Heartbeat {
    Heartbeat {
        digest: 0x3132_3334_3536_3738,
        is_ready: true,
        is_serving: true,
        is_complete: true,
        coordinator_term: u64::MAX,
        sequence: 0x4142_4344,
        echoed_sequence: 0x5152_5354,
        is_shutting_down: true,
        is_persisted: true,
        is_transferring: true,
    }
}

pub(crate) fn ballot(number: u64) -> Ballot {
    Ballot { epoch: 100 + number, round: (1 << 40) + number, proposer: 0x6162_6364_6566_6700 + number }
}

fn version(number: u64) -> VersionMessage {
    VersionMessage {
        version: 300 + number,
        high: 0x7172_7374_7576_7700 + number,
        low: 0x8182_8384_8586_8700 + number,
    }
}

/// An item with two older versions.
fn item_with_history() -> ItemMessage {
    ItemMessage {
        kind: 1,
        name: "route-1".into(),
        version: 1_000_000_000_001,
        value: Some(Bytes::from_static(b"{\"a\":1}")),
        older_versions: vec![version(1), version(2)],
    }
}

fn removed_item() -> ItemMessage {
    ItemMessage { kind: 2, name: "tenant-1".into(), version: 5, value: None, older_versions: vec![] }
}

/// An item with an empty value, which differs from a removed item.
fn empty_item() -> ItemMessage {
    ItemMessage {
        kind: 5,
        name: "zone-a".into(),
        version: 6,
        value: Some(Bytes::new()),
        older_versions: vec![],
    }
}

pub(crate) fn accept_request() -> AcceptRequest {
    AcceptRequest {
        request_id: 0x0102_0304_0506,
        items: vec![item_with_history(), removed_item()],
        incarnation: 0x9192_9394_9596_9798,
        epoch: 7,
        ballot: Some(ballot(1)),
        rejected_proposal_id: Bytes::from_static(b"0123456789abcdef"),
        keys: vec![0xa1a2_a3a4_a5a6_a7a8, 1],
        bucket_digests: vec![0xb1b2_b3b4_b5b6_b7b8, 0, 2],
        was_accepted_before: true,
    }
}

fn accept_response() -> AcceptResponse {
    AcceptResponse {
        request_id: 0x0202_0304_0506,
        is_complete: true,
        incarnation: 0xc1c2_c3c4_c5c6_c7c8,
        is_rejected: true,
        ballot: Some(ballot(2)),
        answered_ballot: Some(ballot(3)),
    }
}

fn prepare_request() -> PrepareRequest {
    PrepareRequest {
        request_id: 0x0302_0304_0506,
        bucket_digests: vec![0xd1d2_d3d4_d5d6_d7d8, 0],
        incarnation: 0xe1e2_e3e4_e5e6_e7e8,
        epoch: 8,
        ballot: Some(ballot(4)),
        keys: vec![0xf1f2_f3f4_f5f6_f7f8, 3],
        wants_all_undecided: true,
        watched_names: Vec::new(),
        first_bucket: u32::MAX,
    }
}

pub(crate) fn rejection() -> RejectedProposal {
    RejectedProposal { ballot: ballot(5), proposal_id: Bytes::from_static(b"fedcba9876543210") }
}

pub(crate) fn accepted_proposal() -> ProposalMessage {
    ProposalMessage { ballot: ballot(6), items: vec![empty_item(), removed_item()] }
}

fn prepare_response() -> PrepareResponse {
    PrepareResponse {
        request_id: 0x0402_0304_0506,
        items: vec![item_with_history()],
        is_complete: true,
        is_bootstrapped: true,
        incarnation: 0x0908_0706_0504_0302,
        first_bucket: 11,
        next_bucket: 12,
        differing_buckets: vec![0x80, 0, 0x01],
        digest: 0x1918_1716_1514_1312,
        is_rejected: true,
        ballot: Some(ballot(7)),
        accepted: vec![accepted_proposal()],
        rejected: vec![rejection()],
        activated_version: 13,
    }
}

fn lease_request() -> LeaseRequest {
    LeaseRequest {
        role: "steward".into(),
        term: 21,
        request_id: 22,
        is_release: true,
        is_renewal: true,
        epoch: 23,
    }
}

fn lease_vote() -> LeaseVote {
    LeaseVote {
        role: "steward".into(),
        request_id: 31,
        is_granted: true,
        term: 32,
        holder: "node-2#1f".into(),
        epoch: 33,
    }
}

fn session_list() -> SessionList {
    let member = Member {
        node_id: "node-3".into(),
        incarnation: 0x2928_2726_2524_2322,
        client_address: "203.0.113.9:80".into(),
        zone: "zone-b".into(),
        is_ready: true,
    };
    let other = Member { node_id: "node-4".into(), ..Member::default() };
    SessionList { sequence: 41, members: vec![member, other] }
}

fn usage_report() -> UsageReport {
    let usage = TenantUsage {
        tenant: "tenant-2".into(),
        offered: 51,
        forwarded: 52,
        reserved: 53,
        requested: 54,
        returned: 55,
        prefetch: 56,
    };
    let other = TenantUsage { tenant: "tenant-3".into(), offered: u32::MAX, ..TenantUsage::default() };
    UsageReport {
        request_id: 57,
        node_id: "node-5".into(),
        tenants: vec![usage, other],
        incarnation: 0x3938_3736_3534_3332,
        is_mid_period: true,
    }
}

fn usage_totals() -> UsageTotals {
    let total = TenantTotal {
        tenant: "tenant-4".into(),
        offered: 61.5,
        forwarded: 0.0625,
        granted: 62,
        share: f32::INFINITY,
    };
    UsageTotals {
        request_id: 63,
        node_id: "node-6".into(),
        tenants: vec![total],
        incarnation: 0x4948_4746_4544_4342,
        is_mid_period: true,
    }
}

fn membership_update() -> MembershipUpdate {
    MembershipUpdate {
        gateway_count: 71,
        node_ids: vec!["node-7".into(), "node-8".into()],
        control_addresses: vec!["10.1.2.4:7000".into()],
        control_zones: vec!["zone-c".into()],
    }
}

pub(crate) fn commit() -> Commit {
    Commit { proposal_id: Bytes::from_static(b"0f1e2d3c4b5a6978") }
}

fn purge_tombstones() -> PurgeTombstones {
    PurgeTombstones { tombstones: vec![removed_item()] }
}

/// Each variant with all fields set, in the order of the variants' tags.
pub(crate) fn complete() -> Vec<Sample> {
    let bucket_digests = BucketDigests { digests: vec![0x5958_5756_5554_5352, 0, 9], ends_transfer: true };
    vec![
        ("hello", Message::Hello(hello())),
        ("heartbeat", Message::Heartbeat(heartbeat())),
        ("items", Message::Items(Items::complete(vec![item_with_history(), removed_item(), empty_item()]))),
        ("bucket-digests", Message::BucketDigests(bucket_digests)),
        ("accept-request", Message::AcceptRequest(accept_request())),
        ("accept-response", Message::AcceptResponse(accept_response())),
        ("prepare-request", Message::PrepareRequest(prepare_request())),
        ("prepare-response", Message::PrepareResponse(prepare_response())),
        ("lease-request", Message::LeaseRequest(lease_request())),
        ("lease-vote", Message::LeaseVote(lease_vote())),
        ("session-list", Message::SessionList(session_list())),
        ("usage-report", Message::UsageReport(usage_report())),
        ("usage-totals", Message::UsageTotals(usage_totals())),
        ("membership-update", Message::MembershipUpdate(membership_update())),
        ("commit", Message::Commit(commit())),
        ("purge-tombstones", Message::PurgeTombstones(purge_tombstones())),
    ]
}

/// Each variant with no field set.
pub(crate) fn empty() -> Vec<Sample> {
    vec![
        ("hello.empty", Message::Hello(Hello::default())),
        ("heartbeat.empty", Message::Heartbeat(Heartbeat::default())),
        ("items.empty", Message::Items(Items::default())),
        ("bucket-digests.empty", Message::BucketDigests(BucketDigests::default())),
        ("accept-request.empty", Message::AcceptRequest(AcceptRequest::default())),
        ("accept-response.empty", Message::AcceptResponse(AcceptResponse::default())),
        ("prepare-request.empty", Message::PrepareRequest(PrepareRequest::default())),
        ("prepare-response.empty", Message::PrepareResponse(PrepareResponse::default())),
        ("lease-request.empty", Message::LeaseRequest(LeaseRequest::default())),
        ("lease-vote.empty", Message::LeaseVote(LeaseVote::default())),
        ("session-list.empty", Message::SessionList(SessionList::default())),
        ("usage-report.empty", Message::UsageReport(UsageReport::default())),
        ("usage-totals.empty", Message::UsageTotals(UsageTotals::default())),
        ("membership-update.empty", Message::MembershipUpdate(MembershipUpdate::default())),
        ("commit.empty", Message::Commit(Commit::default())),
        ("purge-tombstones.empty", Message::PurgeTombstones(PurgeTombstones::default())),
    ]
}

/// Messages with a single boolean set, for each boolean of a message with several.
pub(crate) fn booleans() -> Vec<Sample> {
    vec![
        ("hello.is-control-plane", Message::Hello(Hello { is_control_plane: true, ..Hello::default() })),
        ("hello.is-current", Message::Hello(Hello { is_serving: true, ..Hello::default() })),
        ("hello.is-complete", Message::Hello(Hello { is_complete: true, ..Hello::default() })),
        ("heartbeat.is-ready", Message::Heartbeat(Heartbeat { is_ready: true, ..Heartbeat::default() })),
        ("heartbeat.is-current", Message::Heartbeat(Heartbeat { is_serving: true, ..Heartbeat::default() })),
        (
            "heartbeat.is-complete",
            Message::Heartbeat(Heartbeat { is_complete: true, ..Heartbeat::default() }),
        ),
        (
            "heartbeat.is-leaving",
            Message::Heartbeat(Heartbeat { is_shutting_down: true, ..Heartbeat::default() }),
        ),
        (
            "heartbeat.is-durable",
            Message::Heartbeat(Heartbeat { is_persisted: true, ..Heartbeat::default() }),
        ),
        (
            "accept-response.is-complete",
            Message::AcceptResponse(AcceptResponse { is_complete: true, ..AcceptResponse::default() }),
        ),
        (
            "accept-response.is-rejected",
            Message::AcceptResponse(AcceptResponse { is_rejected: true, ..AcceptResponse::default() }),
        ),
        (
            "prepare-response.is-complete",
            Message::PrepareResponse(PrepareResponse { is_complete: true, ..PrepareResponse::default() }),
        ),
        (
            "prepare-response.is-founded",
            Message::PrepareResponse(PrepareResponse { is_bootstrapped: true, ..PrepareResponse::default() }),
        ),
        (
            "prepare-response.is-rejected",
            Message::PrepareResponse(PrepareResponse { is_rejected: true, ..PrepareResponse::default() }),
        ),
        (
            "lease-request.is-release",
            Message::LeaseRequest(LeaseRequest { is_release: true, ..LeaseRequest::default() }),
        ),
        (
            "lease-request.is-renewal",
            Message::LeaseRequest(LeaseRequest { is_renewal: true, ..LeaseRequest::default() }),
        ),
    ]
}

/// Messages whose nested messages are present but empty.
pub(crate) fn nested_defaults() -> Vec<Sample> {
    let default_ballot = Some(Ballot::default());
    let accept_request = AcceptRequest {
        items: vec![ItemMessage::default()],
        ballot: default_ballot,
        ..AcceptRequest::default()
    };
    let accept_response = AcceptResponse {
        ballot: default_ballot,
        answered_ballot: default_ballot,
        ..AcceptResponse::default()
    };
    let prepare_request = PrepareRequest { ballot: default_ballot, ..PrepareRequest::default() };
    let watching =
        PrepareRequest { watched_names: vec![0xf1f2_f3f4_f5f6_f7f8, 3], ..PrepareRequest::default() };
    let prepare_response = PrepareResponse {
        ballot: default_ballot,
        accepted: vec![ProposalMessage::default()],
        rejected: vec![RejectedProposal::default()],
        ..PrepareResponse::default()
    };
    vec![
        ("accept-request.nested-defaults", Message::AcceptRequest(accept_request)),
        ("accept-response.nested-defaults", Message::AcceptResponse(accept_response)),
        ("prepare-request.nested-defaults", Message::PrepareRequest(prepare_request)),
        ("prepare-response.nested-defaults", Message::PrepareResponse(prepare_response)),
        ("prepare-request.watched-names", Message::PrepareRequest(watching)),
    ]
}

/// Two replicas; the second one is on a disk without a replica ID.
pub(crate) fn replicas() -> Vec<Replica> {
    let first = Replica {
        node_id: "node-1".into(),
        address: "10.1.2.3:7000".into(),
        zone: "zone-a".into(),
        region: "region-a".into(),
        replica_id: 0x2122_2324_2526_2728,
    };
    let second = Replica { node_id: "node-2".into(), replica_id: 0, ..first.clone() };
    vec![first, second]
}

/// Messages that are only sent as part of other messages or as the value of an item.
pub(crate) fn nested() -> Vec<(&'static str, Vec<u8>)> {
    let replica_set = ReplicaSet { replicas: replicas(), version: 81 };
    vec![
        ("ballot", ballot(1).encode_to_vec()),
        ("rejection", rejection().encode_to_vec()),
        ("accepted-proposal", accepted_proposal().encode_to_vec()),
        ("item", item_with_history().encode_to_vec()),
        ("version", version(1).encode_to_vec()),
        ("replica", replicas()[0].encode_to_vec()),
        ("replica-set", replica_set.encode_to_vec()),
    ]
}
