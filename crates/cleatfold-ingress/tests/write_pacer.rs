//! `WritePacer` compared with a simple model, and its guarantees.

use cleatfold_ingress::{Backoff, PacerLimits, WritePacer, WritePurpose};
use proptest::prelude::*;
use std::collections::BTreeMap;

const LIMITS: PacerLimits = PacerLimits {
    share: 0.25,
    burst_s: 2.0,
    min_burst: 4.0,
    backoff: Backoff { first_ms: 500, max_ms: 4_000 },
    return_delay_ms: 3_000,
};

#[derive(Clone, Copy, Debug)]
enum Outcome {
    Success,
    Failure,
    /// No answer yet.
    Pending,
}

#[derive(Clone, Debug)]
struct Observation {
    passed_ms: u64,
    changes_per_s: f64,
    spare: usize,
    /// By record: whether a write is wanted and for which purpose (true: start), and its outcome if
    /// it is admitted.
    records: Vec<(Option<bool>, Outcome)>,
}

fn observations(records: usize) -> impl Strategy<Value = Vec<Observation>> {
    let outcome =
        prop_oneof![Just(Outcome::Success), Just(Outcome::Failure), Just(Outcome::Pending)];
    let record = (proptest::option::weighted(0.8, any::<bool>()), outcome);
    let records = proptest::collection::vec(record, records);
    let observation = (0..2_000u64, 0.0..60.0f64, 0..3usize, records).prop_map(
        |(passed_ms, changes_per_s, spare, records)| Observation {
            passed_ms,
            changes_per_s,
            spare,
            records,
        },
    );
    proptest::collection::vec(observation, 1..60)
}

/// One record of the model.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    since: Option<u64>,
    in_flight: bool,
    failures: u32,
    failed_at: u64,
}

impl Record {
    /// A first attempt is never delayed; a retry is delayed for 250 ms to 4 s.
    fn may_be_in_backoff(&self, now: u64) -> bool {
        let max_pause_ms = 500u64 << self.failures.saturating_sub(1).min(3);
        self.failures > 0 && now < self.failed_at + max_pause_ms
    }

    fn must_be_in_backoff(&self, now: u64) -> bool {
        self.failures > 0 && now < self.failed_at + 250
    }
}

proptest! {
    #[test]
    fn admits_in_order_within_budget_and_outside_of_backoff(observations in observations(12), seed: u64) {
        let mut pacer = WritePacer::new(seed, LIMITS);
        let mut model: BTreeMap<usize, Record> = BTreeMap::new();
        let (mut now, mut refilled_at, mut tokens) = (1_000, None, 4.0f64);
        for observation in observations {
            now += observation.passed_ms;
            let rate = observation.changes_per_s * 0.25;
            let passed_s = (now - refilled_at.unwrap_or(now)) as f64 / 1_000.0;
            refilled_at = Some(now);
            tokens = (tokens + rate * passed_s).min((rate * 2.0).max(4.0));
            pacer.refill(now, observation.changes_per_s);
            // Records with a write in flight are not requested.
            let mut wanted = Vec::new();
            for (i, (wanted_purpose, _)) in observation.records.iter().enumerate() {
                let record = model.entry(i).or_default();
                match wanted_purpose {
                    _ if record.in_flight => {}
                    Some(is_start) => {
                        record.since.get_or_insert(now);
                        wanted.push((i, if *is_start { WritePurpose::Start } else { WritePurpose::Return }));
                    }
                    None => record.since = None,
                }
            }
            let admitted = pacer.admit(now, &wanted, observation.spare);
            let due = |i: &usize| {
                let purpose = wanted.iter().find(|w| w.0 == *i).expect("wanted").1;
                let since = model[i].since.expect("wanted");
                (since + if purpose == WritePurpose::Return { 3_000 } else { 0 }, *i)
            };
            let budget = tokens.max(0.0).floor() as usize + observation.spare;
            prop_assert!(admitted.len() <= budget, "{} of {budget}", admitted.len());
            for key in &admitted {
                prop_assert!(wanted.iter().any(|w| w.0 == *key));
                prop_assert!(!model[key].in_flight && !model[key].must_be_in_backoff(now), "{key} too soon");
            }
            let order: Vec<_> = admitted.iter().map(due).collect();
            prop_assert!(order.is_sorted(), "{order:?}");
            for (key, _) in wanted.iter().filter(|w| !admitted.contains(&w.0)) {
                let in_backoff = model[key].may_be_in_backoff(now);
                prop_assert!(in_backoff || admitted.len() == budget, "{key} is not admitted with budget left");
                prop_assert!(in_backoff || order.last().is_none_or(|last| *last < due(key)), "{key} passed over");
            }
            for key in admitted {
                tokens -= if tokens >= 1.0 { 1.0 } else { 0.0 };
                model.get_mut(&key).expect("known").in_flight = true;
            }
            for (i, (_, outcome)) in observation.records.iter().enumerate() {
                let record = model.get_mut(&i).expect("known");
                if !record.in_flight {
                    continue;
                }
                match outcome {
                    Outcome::Pending => {}
                    Outcome::Success => {
                        pacer.succeeded(&i);
                        *record = Record::default();
                    }
                    Outcome::Failure => {
                        pacer.failed(now, &i);
                        record.in_flight = false;
                        record.failures += 1;
                        record.failed_at = now;
                    }
                }
            }
        }
    }

    /// However many records want to start work, each returned resource is written in time, and so
    /// is each start.
    #[test]
    fn wait_is_bounded_by_writes_ahead(records in 1..200usize, changes_per_s in 4.0..60.0f64, seed: u64) {
        let mut pacer = WritePacer::new(seed, LIMITS);
        let mut last = vec![0u64; records];
        let rate = changes_per_s * 0.25;
        let max_wait_ms = (records as f64 / rate * 1_000.0) as u64 + 3_000 + 2 * 250;
        for now in (0..3 * max_wait_ms).step_by(250) {
            pacer.refill(now, changes_per_s);
            let purpose = |i: usize| [WritePurpose::Return, WritePurpose::Start, WritePurpose::Start][i % 3];
            let wanted: Vec<_> = (0..records).map(|i| (i, purpose(i))).collect();
            for key in pacer.admit(now, &wanted, 0) {
                last[key] = now;
                pacer.succeeded(&key);
            }
            for (key, at) in last.iter().enumerate() {
                prop_assert!(now - at <= max_wait_ms, "{key} waits for {} ms", now - at);
            }
        }
    }

    /// Writes stay within the share and one burst, however often they fail.
    #[test]
    fn writes_stay_within_share(records in 1..100usize, changes_per_s in 1.0..60.0f64, seed: u64) {
        let mut pacer = WritePacer::new(seed, LIMITS);
        let (mut sent, duration_s) = (0, 30);
        for now in (0..=duration_s * 1_000).step_by(50) {
            pacer.refill(now, changes_per_s);
            let wanted: Vec<_> = (0..records).map(|i| (i, WritePurpose::Start)).collect();
            for key in pacer.admit(now, &wanted, 0) {
                sent += 1;
                pacer.failed(now, &key);
            }
        }
        let rate = changes_per_s * 0.25;
        prop_assert!(sent as f64 <= rate * duration_s as f64 + (2.0 * rate).max(4.0), "{sent}");
    }
}

fn admitted(pacer: &mut WritePacer<u32>, now: u64) -> bool {
    !pacer.admit(now, &[(7, WritePurpose::Start)], 0).is_empty()
}

/// The pauses until the record is admitted again, after each of some failures in a row.
fn pauses(seed: u64) -> Vec<u64> {
    let mut pacer = WritePacer::new(seed, LIMITS);
    let (mut now, mut pauses) = (1_000, Vec::new());
    for _ in 0..6 {
        pacer.refill(now, 100.0);
        assert!(admitted(&mut pacer, now));
        pacer.failed(now, &7);
        let failed_at = now;
        while !admitted(&mut pacer, now) {
            now += 1;
        }
        pauses.push(now - failed_at);
        pacer.failed(now, &7);
        now += 5_000;
    }
    pauses
}

#[test]
fn backoff_grows_to_bound() {
    let mut first = Vec::new();
    for seed in 0..50 {
        let pauses = pauses(seed);
        assert!((250..=500).contains(&pauses[0]), "{pauses:?}");
        assert!(pauses.iter().all(|ms| *ms <= 4_000), "{pauses:?}");
        assert!(*pauses.last().expect("six") >= 2_000, "{pauses:?}");
        assert_eq!(pauses, self::pauses(seed), "deterministic");
        first.push(pauses[0]);
    }
    first.sort();
    first.dedup();
    assert!(first.len() > 25, "controllers that failed together retry together: {first:?}");
}

#[test]
fn success_ends_backoff() {
    let mut pacer = WritePacer::new(3, LIMITS);
    pacer.refill(1_000, 100.0);
    assert!(admitted(&mut pacer, 1_000));
    pacer.failed(1_000, &7);
    assert!(!admitted(&mut pacer, 1_001));
    pacer.refill(1_600, 100.0);
    assert!(admitted(&mut pacer, 1_600));
    pacer.succeeded(&7);
    assert!(admitted(&mut pacer, 1_601));
}

/// A resend after an unknown outcome is charged, so that the share holds over all sends.
#[test]
fn resend_is_charged() {
    let mut pacer = WritePacer::new(3, LIMITS);
    pacer.refill(1_000, 0.0);
    assert!(admitted(&mut pacer, 1_000));
    for _ in 0..3 {
        assert!((250..=4_000).contains(&pacer.resend(&7)));
    }
    assert!(pacer.admit(1_000, &[(8, WritePurpose::Start)], 0).is_empty(), "the burst is used up");
    assert_eq!(
        pacer.admit(1_000, &[(8, WritePurpose::Start)], 1),
        [8],
        "a spare change needs no token"
    );
}
