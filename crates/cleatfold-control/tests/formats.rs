//! Stored records, messages between controllers and HTTP bodies, byte for byte.
//!
//! The fixtures were written by the version before the code's names were revised. Whatever is
//! renamed since, each must be read, and written again exactly as it was.

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
        let mut next = || fields.next().expect("three fields a line");
        Fixture { kind: next(), name: next(), bytes: next() }
    });
    let found: Vec<Fixture> = lines.filter(|fixture| fixture.kind == kind).collect();
    assert!(!found.is_empty(), "no fixtures of kind {kind}");
    found
}

/// Reads a JSON text as `T` and expects the same text when it is written again.
fn rewritten<T: DeserializeOwned + Serialize>(fixture: &Fixture) {
    let value: T = serde_json::from_str(fixture.bytes)
        .unwrap_or_else(|error| panic!("{} {}: {error}", fixture.kind, fixture.name));
    let written = serde_json::to_string(&value).expect("plain JSON");
    assert_eq!(written, fixture.bytes, "{} {}", fixture.kind, fixture.name);
}

fn all_rewritten<T: DeserializeOwned + Serialize>(kind: &'static str) {
    fixtures(kind).iter().for_each(rewritten::<T>);
}

fn rewritten_live_record(fixture: &Fixture, key: &Key) {
    match key {
        Key::Job(_) => rewritten::<JobRecord>(fixture),
        Key::Part(..) => rewritten::<TaskTable>(fixture),
        Key::Progress(..) => rewritten::<cleatfold_elastic::ProgressPartRecord>(fixture),
        Key::Pool(_) | Key::Role(_) | Key::Workspace(_) => rewritten::<HolderRecord>(fixture),
        Key::Controller(_) => rewritten::<ControllerRecord>(fixture),
        Key::Slice(_) => rewritten::<SliceRecord>(fixture),
        Key::LossHead(_) => rewritten::<LossHead>(fixture),
        Key::History(_) => rewritten::<HistoryHead>(fixture),
        Key::Preemption(_) => rewritten::<PreemptionRecord>(fixture),
        Key::ImageHolders(_) => rewritten::<ImageHoldersRecord>(fixture),
        Key::ScaleOutIntents => rewritten::<ScaleOutIntents>(fixture),
        Key::OverloadQuota => rewritten::<cleatfold_admission::OverloadQuota>(fixture),
        Key::Origin => rewritten::<OriginRecord>(fixture),
    }
}

#[test]
fn stored_records_are_read_and_written_as_before() {
    let mut kinds = std::collections::BTreeSet::new();
    for fixture in fixtures("record") {
        match fixture.name.split_once('/') {
            Some(("ar", _)) => rewritten::<ArchiveRecord>(&fixture),
            Some(("hist", _)) => rewritten::<HistoryGroup>(&fixture),
            Some(("lo", _)) => rewritten::<Vec<Loss>>(&fixture),
            Some(("cf", "format")) => assert_eq!(fixture.bytes, r#"{"version":1}"#),
            _ => {
                let key = parse_key(fixture.name);
                let key = key.unwrap_or_else(|| panic!("{} is no key", fixture.name));
                kinds.insert(kind_name(&key));
                rewritten_live_record(&fixture, &key);
            }
        }
    }
    assert_eq!(kinds.len(), 15, "a kind of record has no fixture: {kinds:?}");
}

/// The name of a key's kind, without what the key is about.
fn kind_name(key: &Key) -> String {
    let name = format!("{key:?}");
    name.split(['(', ' ']).next().unwrap_or_default().to_string()
}

#[test]
fn messages_between_controllers_are_read_and_written_as_before() {
    for fixture in fixtures("mesh") {
        let digits: Vec<char> = fixture.bytes.chars().collect();
        let bytes: Vec<u8> = digits
            .chunks(2)
            .map(|pair| u8::from_str_radix(&pair.iter().collect::<String>(), 16).expect("hex"))
            .collect();
        let message: Message =
            bitcode::decode(&bytes).unwrap_or_else(|error| panic!("{}: {error}", fixture.name));
        assert_eq!(bitcode::encode(&message), bytes, "{}", fixture.name);
        let same = match fixture.name {
            "Alive" => matches!(message, Message::Alive { .. }),
            "Assign" => matches!(message, Message::Assign { .. }),
            "Cancelled" => matches!(message, Message::Cancelled { .. }),
            "CancelledAck" => matches!(message, Message::CancelledAck { .. }),
            "Changed" => matches!(message, Message::Changed),
            "Hears" => matches!(message, Message::ZoneContact { .. }),
            "Images" => matches!(message, Message::Images { .. }),
            "Promises" => matches!(message, Message::Promises { .. }),
            "Rented" => matches!(message, Message::Rented { .. }),
            other => panic!("no such message: {other}"),
        };
        assert!(same, "{} is read as {message:?}", fixture.name);
    }
}

#[test]
fn http_bodies_are_read_and_written_as_before() {
    all_rewritten::<Txn>("transaction");
    all_rewritten::<Grant>("grant");
    all_rewritten::<Orders>("orders");
    all_rewritten::<Heartbeat>("report");
    all_rewritten::<HeartbeatResponse>("report_reply");
    all_rewritten::<Redirect>("redirect");
    all_rewritten::<JobStatus>("status");
    all_rewritten::<StepReply>("steps");
    all_rewritten::<StepReport>("steps_report");
    all_rewritten::<cleatfold_wire::cloud::ScaleOutRequest>("rent");
}
