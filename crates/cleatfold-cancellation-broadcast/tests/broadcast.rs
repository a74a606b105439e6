//! Compares the broadcast over a mesh with missing links with the set of controllers that can be reached.

use cleatfold_cancellation_broadcast::CancellationBroadcast;
use cleatfold_wire::{ControllerId, JobId, Ms};
use proptest::prelude::*;
use std::collections::BTreeSet;

const CONTROLLERS: usize = 4;
const RETENTION_MS: u64 = 40_000;

fn controller(i: usize) -> ControllerId {
    ControllerId::new(format!("n{i}"))
}

fn peers(of: usize) -> Vec<ControllerId> {
    (0..CONTROLLERS).filter(|i| *i != of).map(controller).collect()
}

fn job(n: u8) -> JobId {
    JobId::new(format!("run-{n}"))
}

/// Runs one second of the broadcast: messages that are due are sent and acknowledged over the links that are up,
/// in two rounds.
fn run_one_second(
    all: &mut [CancellationBroadcast],
    up: &BTreeSet<(usize, usize)>,
    now: Ms,
) -> usize {
    let mut sent = 0;
    for round in 0..2 {
        let now = now.plus(500 * round);
        for from in 0..CONTROLLERS {
            for (to, jobs) in all[from].messages_due(now, RETENTION_MS, |_| None) {
                sent += jobs.len();
                let to = (0..CONTROLLERS).find(|i| controller(*i) == to).expect("a peer");
                if !up.contains(&(from, to)) {
                    continue;
                }
                for job in &jobs {
                    all[to].received(job, &controller(from), peers(to).iter(), now);
                }
                if up.contains(&(to, from)) {
                    jobs.iter().for_each(|job| all[from].acknowledged(&controller(to), job));
                }
            }
        }
    }
    sent
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// After a few seconds exactly the controllers with a path from a confirming controller know of a
    /// cancellation, and no controller knows of one that was never confirmed.
    #[test]
    fn cancellation_reaches_exactly_the_connected_controllers(
        links in proptest::collection::btree_set((0..CONTROLLERS, 0..CONTROLLERS), 0..12),
        confirmed in proptest::collection::vec((0..CONTROLLERS, 0u8..6), 1..6),
    ) {
        let mut all = vec![CancellationBroadcast::default(); CONTROLLERS];
        let now = Ms(1000);
        for (at, n) in &confirmed {
            all[*at].confirmed(&job(*n), &[], peers(*at).iter(), now);
        }
        for s in 0..12 {
            run_one_second(&mut all, &links, now.plus(1000 * s));
        }
        for n in 0..6 {
            let mut reached: BTreeSet<usize> =
                confirmed.iter().filter(|c| c.1 == n).map(|c| c.0).collect();
            for _ in 0..CONTROLLERS {
                let neighbors: Vec<usize> =
                    links.iter().filter(|(a, _)| reached.contains(a)).map(|l| l.1).collect();
                reached.extend(neighbors);
            }
            for (i, broadcast) in all.iter().enumerate() {
                prop_assert_eq!(broadcast.is_cancelled(&job(n)), reached.contains(&i), "job {} at {}", n, i);
            }
        }
    }
}

#[test]
fn acknowledged_or_read_cancellation_is_not_resent() {
    let mut broadcast = CancellationBroadcast::default();
    let (owner, other) = (controller(1), controller(2));
    broadcast.confirmed(
        &job(1),
        std::slice::from_ref(&owner),
        [&owner, &other].into_iter(),
        Ms(1000),
    );
    let due = broadcast.messages_due(Ms(1000), RETENTION_MS, |_| None);
    assert_eq!(due.keys().collect::<Vec<_>>(), [&owner], "only the owner is notified at once");
    assert!(broadcast.messages_due(Ms(1400), RETENTION_MS, |_| None).is_empty());
    assert_eq!(
        broadcast.messages_due(Ms(1500), RETENTION_MS, |_| None).len(),
        1,
        "resent without an acknowledgement"
    );
    broadcast.acknowledged(&owner, &job(1));
    // The last reading is not after the cancellation at first, then it is.
    assert_eq!(
        broadcast
            .messages_due(Ms(3000), RETENTION_MS, |_| Some(Ms(1000)))
            .keys()
            .collect::<Vec<_>>(),
        [&other]
    );
    assert!(broadcast.messages_due(Ms(9000), RETENTION_MS, |_| Some(Ms(1001))).is_empty());
    assert!(broadcast.is_cancelled(&job(1)));
    broadcast.messages_due(Ms(1001 + RETENTION_MS), RETENTION_MS, |_| None);
    assert!(!broadcast.is_cancelled(&job(1)), "dropped after the retention time");
}

/// Records far more cancellations than are remembered, none of them acknowledged.
#[test]
fn known_jobs_and_message_size_are_bounded() {
    let mut broadcast = CancellationBroadcast::default();
    let peer = controller(1);
    for n in 0..16_000 {
        broadcast.read_from_store(
            &JobId::new(format!("run-{n}")),
            [&peer].into_iter(),
            Ms(1000 + n),
        );
    }
    assert!(
        !broadcast.is_cancelled(&JobId::new("run-0"))
            && broadcast.is_cancelled(&JobId::new("run-15999"))
    );
    let due = broadcast.messages_due(Ms(30_000), RETENTION_MS, |_| None);
    assert!(due[&peer].len() <= 256);
}
