//! Answers that stay within their length.

use cleatfold_wire::team::MAX_ANSWER;
use serde::Serialize;

/// What the frame of an answer takes.
const ENVELOPE_BYTES: usize = 200;

/// Entries of an answer, as many as it holds.
#[derive(Debug)]
pub struct AnswerPage<T> {
    /// What fits so far.
    pub entries: Vec<T>,
    length: usize,
}

impl<T> Default for AnswerPage<T> {
    fn default() -> Self {
        Self { entries: Vec::new(), length: ENVELOPE_BYTES }
    }
}

impl<T: Serialize> AnswerPage<T> {
    /// Takes some entries, all or none.
    pub fn try_extend(&mut self, some: Vec<T>) -> Result<(), Vec<T>> {
        let length = |e: &T| serde_json::to_string(e).map_or(MAX_ANSWER, |s| s.len() + 1);
        let more: usize = some.iter().map(length).sum();
        if self.length + more > MAX_ANSWER {
            return Err(some);
        }
        self.length += more;
        self.entries.extend(some);
        Ok(())
    }
}

/// Takes entries in the order of their places until the answer is full. Those that share a place (accepted
/// in one change) stay together, since the next question starts at a place; where they alone are too long
/// (`shorten` leaves out what is for people). Returns them, what to ask with next, and whether there is more.
pub fn page_by_place<T: Serialize>(
    since: u64,
    entries: impl Iterator<Item = (u64, T)>,
    shorten: impl Fn(&mut T),
) -> (Vec<T>, u64, bool) {
    let mut answer_page = AnswerPage::default();
    let mut next = since;
    let mut entries = entries.peekable();
    while let Some((place, entry)) = entries.next() {
        let mut together = vec![entry];
        while entries.peek().is_some_and(|(p, _)| *p == place) {
            together.extend(entries.next().map(|e| e.1));
        }
        let first = answer_page.entries.is_empty();
        if let Err(mut back) = answer_page.try_extend(together) {
            if !first {
                return (answer_page.entries, next, true);
            }
            back.iter_mut().for_each(&shorten);
            // A change is no longer than an answer, and says more of each job than this does.
            while answer_page.try_extend(std::mem::take(&mut back)).map_err(|b| back = b).is_err() {
                back.pop();
            }
        }
        next = place + 1;
    }
    (answer_page.entries, next, false)
}
