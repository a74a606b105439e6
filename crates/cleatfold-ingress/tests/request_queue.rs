//! The request queue against a slow plain model, and against loads that nobody could serve.

use cleatfold_ingress::{RequestClass, RequestQueue};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Every request in one list, looked through for each answer.
#[derive(Default)]
struct Model {
    waiting: Vec<(RequestClass, u64, u32)>,
    served: u32,
}

impl Model {
    fn of(&self, class: RequestClass) -> impl Iterator<Item = &(RequestClass, u64, u32)> {
        self.waiting.iter().filter(move |w| w.0 == class)
    }

    fn oldest(&self, class: RequestClass) -> Option<u64> {
        self.of(class).map(|w| w.1).min()
    }

    fn pop(&mut self, now: u64) -> Option<u32> {
        self.served += 1;
        let late = |c: RequestClass| self.oldest(c).is_some_and(|at| now - at > c.timeout_ms() / 2);
        let some = || RequestClass::ALL.into_iter().filter(|c| self.oldest(*c).is_some());
        let class = if !some().any(late) {
            some().min_by_key(|c| self.oldest(*c))
        } else if self.served.is_multiple_of(4) {
            some().max_by_key(|c| (now - self.oldest(*c).unwrap()) * 1000 / c.timeout_ms())
        } else {
            some().next()
        }?;
        let number = match late(class) {
            true => self.of(class).last().unwrap().2,
            false => self.of(class).next().unwrap().2,
        };
        self.waiting.retain(|w| w.2 != number);
        Some(number)
    }

    fn expire(&mut self, now: u64) -> Vec<u32> {
        let gone = |w: &&(RequestClass, u64, u32)| now - w.1 > w.0.timeout_ms();
        let mut numbers: Vec<u32> = self.waiting.iter().filter(gone).map(|w| w.2).collect();
        numbers.sort_unstable();
        self.waiting.retain(|w| !gone(&w));
        numbers
    }
}

#[test]
fn the_request_queue_does_as_the_plain_model() {
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut request_queue, mut model) = (RequestQueue::default(), Model::default());
        let (mut now, mut number) = (0, 0);
        for _ in 0..1500 {
            now += rng.random_range(0..60);
            // More comes than is served, for a while, and then less.
            for _ in 0..rng.random_range(0..if number % 900 < 500 { 4 } else { 2 }) {
                number += 1;
                let class = RequestClass::ALL[rng.random_range(0..4)];
                assert!(request_queue.push(class, now, number).is_none());
                model.waiting.push((class, now, number));
            }
            if rng.random_bool(0.1) {
                let mut gone: Vec<u32> =
                    request_queue.expired(now).into_iter().map(|g| g.1).collect();
                gone.sort_unstable();
                assert_eq!(gone, model.expire(now));
            }
            assert_eq!(request_queue.pop(now), model.pop(now), "seed {seed} at {now}");
            assert_eq!(request_queue.len(), model.waiting.len());
            let oldest = model.waiting.iter().map(|w| now - w.1).max();
            assert_eq!(request_queue.oldest_ms(now), oldest.unwrap_or(0));
        }
    }
}

/// Askers of one class who ask again a second after they gave up. Returns how many a second got
/// their answer in time while the load lasted, and in the ten seconds after it.
fn goodput(
    load: f64,
    request_queue: impl Fn(&mut RequestQueue<(u64, bool)>, u64) -> Option<(u64, bool)>,
) -> [f64; 2] {
    const SERVED_MS: u64 = 10;
    let class = RequestClass::UserRequest;
    let mut waiting = RequestQueue::default();
    let mut again: Vec<u64> = Vec::new();
    let mut owed = 0.0;
    let mut good = [0.0; 2];
    for now in (0..70_000u64).step_by(SERVED_MS as usize) {
        let overloaded = now < 60_000;
        owed += if overloaded { load } else { 0.4 };
        while owed >= 1.0 {
            owed -= 1.0;
            waiting.push(class, now, (now, true));
        }
        let due = again.iter().filter(|at| **at <= now).count();
        again.retain(|at| *at > now);
        for _ in 0..due {
            waiting.push(class, now, (now, true));
        }
        // Whoever is not answered asks again, whether it was worked on too late or thrown out.
        let late: Vec<_> = match load {
            _ if now % 50 == 0 => waiting.expired(now),
            _ => vec![],
        };
        again.extend(late.iter().map(|(_, (at, _))| at + class.timeout_ms() + 1000));
        let Some((at, _)) = request_queue(&mut waiting, now) else { continue };
        match now - at <= class.timeout_ms() {
            true => good[usize::from(!overloaded)] += 1.0,
            false => again.push(at + class.timeout_ms() + 1000),
        }
    }
    [good[0] / 60.0, good[1] / 10.0]
}

/// The load that late answers breed keeps a first-come queue down for good: it is what the
/// collapse of the larger deployment looked like. With the request queue no load lowers what is done.
#[test]
fn no_load_lowers_what_is_done_in_time() {
    for load in [1.0, 2.0, 3.0, 5.0] {
        let [during, after] = goodput(load, |request_queue, now| request_queue.pop(now));
        assert!(during >= 80.0, "{during} answers a second of 100 at {load} times the load");
        assert!(after >= 30.0, "{after} answers a second of 40 asked for after {load}");
    }
}

#[test]
fn nobody_starves_and_a_full_queue_rejects_the_oldest() {
    let mut request_queue = RequestQueue::default();
    for at in 0..RequestClass::Poll.queue_limit() as u64 {
        assert!(request_queue.push(RequestClass::Poll, at, (RequestClass::Poll, at)).is_none());
    }
    assert_eq!(
        request_queue.push(RequestClass::Poll, 5000, (RequestClass::Poll, 5000)),
        Some((RequestClass::Poll, 0))
    );
    // Workers are pressed all the time: one answer in four still goes to who waits longest.
    let mut polls = 0;
    for i in 0..400 {
        request_queue.push(RequestClass::BusyHeartbeat, 3000, (RequestClass::BusyHeartbeat, i));
        polls += u32::from(request_queue.pop(5200).is_some_and(|p| p.0 == RequestClass::Poll));
    }
    assert!((90..=110).contains(&polls), "{polls}");
}
