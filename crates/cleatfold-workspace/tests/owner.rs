//! Who keeps which team.

use cleatfold_wire::{ControllerId, TeamId};
use cleatfold_workspace::owner::{owner_rank, preferred_owner};
use cleatfold_workspace::page::page_by_place;
use std::collections::{BTreeMap, BTreeSet};

fn controllers(n: usize) -> BTreeSet<ControllerId> {
    (0..n).map(|i| ControllerId::new(format!("node-{i}"))).collect()
}

#[test]
fn a_controller_that_goes_leaves_only_its_own_teams_and_to_all() {
    let all = controllers(5);
    let teams: Vec<TeamId> = (0..200).map(|i| TeamId::new(format!("team-{i}"))).collect();
    let gone = ControllerId::new("node-2");
    let rest: BTreeSet<ControllerId> = all.iter().filter(|n| **n != gone).cloned().collect();
    let mut counts: BTreeMap<&ControllerId, usize> = BTreeMap::new();
    let mut heirs = BTreeSet::new();
    for team in &teams {
        let owner = preferred_owner(team, all.iter()).unwrap();
        *counts.entry(owner).or_default() += 1;
        assert_eq!(owner_rank(team, owner, &all), 0);
        let ranks: BTreeSet<usize> = all.iter().map(|n| owner_rank(team, n, &all)).collect();
        assert_eq!(ranks.len(), all.len(), "an order");
        let next = preferred_owner(team, rest.iter()).unwrap();
        if *owner == gone {
            assert_eq!(owner_rank(team, next, &all), 1);
            heirs.insert(next);
        } else {
            assert_eq!(owner, next, "stays where it was");
        }
    }
    assert_eq!(heirs.len(), 4);
    assert!(counts.values().all(|n| (20..=65).contains(n)), "{counts:?}");
}

#[test]
fn pages_end_between_places_and_tell_each_entry_once() {
    // Jobs accepted in one change share a place.
    let all: Vec<(u64, String)> = (0..3000u64)
        .map(|i| (10 + i / 7, format!("{i:06}{}", "x".repeat((i % 90) as usize))))
        .collect();
    let (mut told, mut since) = (Vec::new(), 0);
    loop {
        let from = all.iter().filter(|e| e.0 >= since).cloned();
        let (page, next, more) = page_by_place(since, from, |_| {});
        assert!(serde_json::to_string(&page).unwrap().len() < 64 * 1024);
        told.extend(page);
        since = next;
        if !more {
            break;
        }
    }
    assert_eq!(told, all.into_iter().map(|e| e.1).collect::<Vec<_>>());
    // What is for people goes before a job does.
    let long = (0..20).map(|i| (5u64, format!("{i:02}{}", "y".repeat(5000))));
    let (page, next, more) = page_by_place(0, long, |text| text.truncate(2));
    assert_eq!((page.len(), next, more), (20, 6, false));
}
