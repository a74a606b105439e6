//! The request queue compared with a simple model, and under loads above its capacity.

use cleatfold_ingress::{RequestClass, RequestQueue};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// All requests in one list that is searched for each answer.
#[derive(Default)]
struct Model {
    waiting: Vec<(RequestClass, u64, u32)>,
    served: u32,
}

impl Model {
    fn of_class(&self, class: RequestClass) -> impl Iterator<Item = &(RequestClass, u64, u32)> {
        self.waiting.iter().filter(move |w| w.0 == class)
    }

    fn oldest(&self, class: RequestClass) -> Option<u64> {
        self.of_class(class).map(|w| w.1).min()
    }

    fn pop(&mut self, now: u64) -> Option<u32> {
        self.served += 1;
        let is_late =
            |c: RequestClass| self.oldest(c).is_some_and(|at| now - at > c.timeout_ms() / 2);
        let non_empty = || RequestClass::ALL.into_iter().filter(|c| self.oldest(*c).is_some());
        let class = if !non_empty().any(is_late) {
            non_empty().min_by_key(|c| self.oldest(*c))
        } else if self.served.is_multiple_of(4) {
            non_empty().max_by_key(|c| (now - self.oldest(*c).unwrap()) * 1000 / c.timeout_ms())
        } else {
            non_empty().next()
        }?;
        let number = match is_late(class) {
            true => self.of_class(class).last().unwrap().2,
            false => self.of_class(class).next().unwrap().2,
        };
        self.waiting.retain(|w| w.2 != number);
        Some(number)
    }

    fn expire(&mut self, now: u64) -> Vec<u32> {
        let is_expired = |w: &&(RequestClass, u64, u32)| now - w.1 > w.0.timeout_ms();
        let mut numbers: Vec<u32> = self.waiting.iter().filter(is_expired).map(|w| w.2).collect();
        numbers.sort_unstable();
        self.waiting.retain(|w| !is_expired(&w));
        numbers
    }
}

#[test]
fn request_queue_matches_model() {
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut request_queue, mut model) = (RequestQueue::default(), Model::default());
        let (mut now, mut number) = (0, 0);
        for _ in 0..1500 {
            now += rng.random_range(0..60);
            // More requests arrive than are served for a while, then fewer.
            for _ in 0..rng.random_range(0..if number % 900 < 500 { 4 } else { 2 }) {
                number += 1;
                let class = RequestClass::ALL[rng.random_range(0..4)];
                assert!(request_queue.push(class, now, number).is_none());
                model.waiting.push((class, now, number));
            }
            if rng.random_bool(0.1) {
                let mut expired: Vec<u32> =
                    request_queue.take_expired(now).into_iter().map(|e| e.1).collect();
                expired.sort_unstable();
                assert_eq!(expired, model.expire(now));
            }
            assert_eq!(request_queue.pop(now), model.pop(now), "seed {seed} at {now}");
            assert_eq!(request_queue.len(), model.waiting.len());
            let oldest = model.waiting.iter().map(|w| now - w.1).max();
            assert_eq!(request_queue.oldest_ms(now), oldest.unwrap_or(0));
        }
    }
}

/// Clients of one class that retry a second after their timeout. Returns how many requests per
/// second were answered in time during the overload, and in the ten seconds after it.
fn goodput(
    load: f64,
    pop: impl Fn(&mut RequestQueue<(u64, bool)>, u64) -> Option<(u64, bool)>,
) -> [f64; 2] {
    const SERVICE_TIME_MS: u64 = 10;
    let class = RequestClass::UserRequest;
    let mut waiting = RequestQueue::default();
    let mut retries: Vec<u64> = Vec::new();
    let mut pending = 0.0;
    let mut answered_in_time = [0.0; 2];
    for now in (0..70_000u64).step_by(SERVICE_TIME_MS as usize) {
        let overloaded = now < 60_000;
        pending += if overloaded { load } else { 0.4 };
        while pending >= 1.0 {
            pending -= 1.0;
            waiting.push(class, now, (now, true));
        }
        let due = retries.iter().filter(|at| **at <= now).count();
        retries.retain(|at| *at > now);
        for _ in 0..due {
            waiting.push(class, now, (now, true));
        }
        // A client without an answer in time retries, whether its request was processed late or
        // expired.
        let expired: Vec<_> = match load {
            _ if now % 50 == 0 => waiting.take_expired(now),
            _ => vec![],
        };
        retries.extend(expired.iter().map(|(_, (at, _))| at + class.timeout_ms() + 1000));
        let Some((at, _)) = pop(&mut waiting, now) else { continue };
        match now - at <= class.timeout_ms() {
            true => answered_in_time[usize::from(!overloaded)] += 1.0,
            false => retries.push(at + class.timeout_ms() + 1000),
        }
    }
    [answered_in_time[0] / 60.0, answered_in_time[1] / 10.0]
}

/// Retries caused by late answers keep a first-come, first-served queue overloaded for good: that
/// was the cause of the collapse of a larger deployment. With the request queue no load reduces the
/// goodput.
#[test]
fn goodput_holds_under_any_load() {
    for load in [1.0, 2.0, 3.0, 5.0] {
        let [during, after] = goodput(load, |request_queue, now| request_queue.pop(now));
        assert!(during >= 80.0, "{during} answers per second of 100 at {load} times the capacity");
        assert!(after >= 30.0, "{after} answers per second of 40 requests after a load of {load}");
    }
}

#[test]
fn polls_are_not_starved_and_full_queue_rejects_oldest() {
    let mut request_queue = RequestQueue::default();
    for at in 0..RequestClass::Poll.queue_limit() as u64 {
        assert!(request_queue.push(RequestClass::Poll, at, (RequestClass::Poll, at)).is_none());
    }
    assert_eq!(
        request_queue.push(RequestClass::Poll, 5000, (RequestClass::Poll, 5000)),
        Some((RequestClass::Poll, 0))
    );
    // Workers are late all the time: one answer in four still goes to the class that has waited
    // longest.
    let mut polls = 0;
    for i in 0..400 {
        request_queue.push(RequestClass::BusyHeartbeat, 3000, (RequestClass::BusyHeartbeat, i));
        polls += u32::from(request_queue.pop(5200).is_some_and(|p| p.0 == RequestClass::Poll));
    }
    assert!((90..=110).contains(&polls), "{polls}");
}
