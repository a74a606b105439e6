//! Stored records, messages between controllers and HTTP bodies, byte for byte.
//!
//! The fixtures were written by a version from before identifiers were renamed. Each must be readable and be written again
//! byte for byte.

use cleatfold_control::records::*;
use cleatfold_roles::ScaleOutIntents;
use cleatfold_wire::job::JobStatus;
use cleatfold_wire::losses::Loss;
use cleatfold_wire::mesh::Message;
use cleatfold_wire::steps::{StepReply, StepReport};
use cleatfold_wire::store::{Grant, Txn};
use cleatfold_wire::worker::{Heartbeat, HeartbeatResponse, Orders, Redirect};
use serde::de::DeserializeOwned;
use serde::Serialize;

const FIXTURES: &str = include_str!("fixtures/formats.tsv");

/// One line of the fixtures: a kind, a key or variant, and the bytes.
struct Fixture {
    kind: &'static str,
    name: &'static str,
    bytes: &'static str,
}

fn fixtures(kind: &'static str) -> Vec<Fixture> {
    let lines = FIXTURES.lines().map(|line| {
        let mut fields = line.splitn(3, '\t');
        let mut next = || fields.next().expect("three fields per line");
        Fixture { kind: next(), name: next(), bytes: next() }
    });
    let found: Vec<Fixture> = lines.filter(|fixture| fixture.kind == kind).collect();
    assert!(!found.is_empty(), "no fixtures of kind {kind}");
    found
}

/// Checks that a JSON text that is parsed as `T` serializes to the same text.
fn check_roundtrip<T: DeserializeOwned + Serialize>(fixture: &Fixture) {
    let value: T = serde_json::from_str(fixture.bytes)
        .unwrap_or_else(|error| panic!("{} {}: {error}", fixture.kind, fixture.name));
    let written = serde_json::to_string(&value).expect("serializable");
    assert_eq!(written, fixture.bytes, "{} {}", fixture.kind, fixture.name);
}

fn check_all_roundtrips<T: DeserializeOwned + Serialize>(kind: &'static str) {
    fixtures(kind).iter().for_each(check_roundtrip::<T>);
}

fn check_record_roundtrip(fixture: &Fixture, key: &Key) {
    match key {
        Key::Job(_) => check_roundtrip::<JobRecord>(fixture),
        Key::Part(..) => check_roundtrip::<TaskTable>(fixture),
        Key::Progress(..) => check_roundtrip::<cleatfold_elastic::ProgressPartRecord>(fixture),
        Key::Pool(_) | Key::Role(_) | Key::Workspace(_) => check_roundtrip::<HolderRecord>(fixture),
        Key::Controller(_) => check_roundtrip::<ControllerRecord>(fixture),
        Key::Slice(_) => check_roundtrip::<SliceRecord>(fixture),
        Key::LossHead(_) => check_roundtrip::<LossHead>(fixture),
        Key::History(_) => check_roundtrip::<HistoryHead>(fixture),
        Key::Preemption(_) => check_roundtrip::<PreemptionRecord>(fixture),
        Key::ImageHolders(_) => check_roundtrip::<ImageHoldersRecord>(fixture),
        Key::ScaleOutIntents => check_roundtrip::<ScaleOutIntents>(fixture),
        Key::OverloadQuota => check_roundtrip::<cleatfold_admission::OverloadQuota>(fixture),
        Key::Origin => check_roundtrip::<OriginRecord>(fixture),
    }
}

#[test]
fn stored_records_keep_their_format() {
    let mut kinds = std::collections::BTreeSet::new();
    for fixture in fixtures("record") {
        match fixture.name.split_once('/') {
            Some(("ar", _)) => check_roundtrip::<ArchiveRecord>(&fixture),
            Some(("hist", _)) => check_roundtrip::<HistoryGroup>(&fixture),
            Some(("lo", _)) => check_roundtrip::<Vec<Loss>>(&fixture),
            Some(("cf", "format")) => assert_eq!(fixture.bytes, r#"{"version":1}"#),
            _ => {
                let key = parse_key(fixture.name);
                let key = key.unwrap_or_else(|| panic!("{} is not a key", fixture.name));
                kinds.insert(kind_name(&key));
                check_record_roundtrip(&fixture, &key);
            }
        }
    }
    assert_eq!(kinds.len(), 15, "a record kind has no fixture: {kinds:?}");
}

/// Returns the name of a key's kind, without the key's arguments.
fn kind_name(key: &Key) -> String {
    let name = format!("{key:?}");
    name.split(['(', ' ']).next().unwrap_or_default().to_string()
}

#[test]
fn controller_messages_keep_their_format() {
    for fixture in fixtures("mesh") {
        let digits: Vec<char> = fixture.bytes.chars().collect();
        let bytes: Vec<u8> = digits
            .chunks(2)
            .map(|pair| u8::from_str_radix(&pair.iter().collect::<String>(), 16).expect("hex"))
            .collect();
        let message: Message =
            bitcode::decode(&bytes).unwrap_or_else(|error| panic!("{}: {error}", fixture.name));
        assert_eq!(bitcode::encode(&message), bytes, "{}", fixture.name);
        let is_expected = match fixture.name {
            "Alive" => matches!(message, Message::Heartbeat { .. }),
            "Assign" => matches!(message, Message::Assign { .. }),
            "Cancelled" => matches!(message, Message::Cancelled { .. }),
            "CancelledAck" => matches!(message, Message::CancelledAck { .. }),
            "Changed" => matches!(message, Message::Changed),
            "Hears" => matches!(message, Message::ZoneContact { .. }),
            "Images" => matches!(message, Message::Images { .. }),
            "Promises" => matches!(message, Message::Promises { .. }),
            "Rented" => matches!(message, Message::MachinesCreated { .. }),
            other => panic!("unknown message: {other}"),
        };
        assert!(is_expected, "{} is decoded as {message:?}", fixture.name);
    }
}

#[test]
fn http_bodies_keep_their_format() {
    check_all_roundtrips::<Txn>("transaction");
    check_all_roundtrips::<Grant>("grant");
    check_all_roundtrips::<Orders>("orders");
    check_all_roundtrips::<Heartbeat>("report");
    check_all_roundtrips::<HeartbeatResponse>("report_reply");
    check_all_roundtrips::<Redirect>("redirect");
    check_all_roundtrips::<JobStatus>("status");
    check_all_roundtrips::<StepReply>("steps");
    check_all_roundtrips::<StepReport>("steps_report");
    check_all_roundtrips::<cleatfold_wire::cloud::ScaleOutRequest>("rent");
}
