//! Pages of answers that stay within the maximum length.

use cleatfold_wire::team::MAX_ANSWER;
use serde::Serialize;

/// Bytes reserved for the JSON around the entries.
const ENVELOPE_BYTES: usize = 200;

/// The entries of one answer, limited by their encoded length.
#[derive(Debug)]
pub struct AnswerPage<T> {
    /// The entries added so far.
    pub entries: Vec<T>,
    length: usize,
}

impl<T> Default for AnswerPage<T> {
    fn default() -> Self {
        Self { entries: Vec::new(), length: ENVELOPE_BYTES }
    }
}

impl<T: Serialize> AnswerPage<T> {
    /// Adds all of these entries, or returns them if they do not fit.
    pub fn try_extend(&mut self, added: Vec<T>) -> Result<(), Vec<T>> {
        let length = |e: &T| serde_json::to_string(e).map_or(MAX_ANSWER, |s| s.len() + 1);
        let added_length: usize = added.iter().map(length).sum();
        if self.length + added_length > MAX_ANSWER {
            return Err(added);
        }
        self.length += added_length;
        self.entries.extend(added);
        Ok(())
    }
}

/// Adds entries in the order of their places until the page is full. Entries that share a place (accepted in
/// one change) stay on one page, since the next request starts at a place; if they alone are too long, `shorten`
/// removes their explanatory texts. Returns the entries, the place for the next request, and whether more follow.
pub fn page_by_place<T: Serialize>(
    since: u64,
    entries: impl Iterator<Item = (u64, T)>,
    shorten: impl Fn(&mut T),
) -> (Vec<T>, u64, bool) {
    let mut answer_page = AnswerPage::default();
    let mut next = since;
    let mut entries = entries.peekable();
    while let Some((place, entry)) = entries.next() {
        let mut same_place = vec![entry];
        while entries.peek().is_some_and(|(p, _)| *p == place) {
            same_place.extend(entries.next().map(|e| e.1));
        }
        let is_empty = answer_page.entries.is_empty();
        if let Err(mut rejected) = answer_page.try_extend(same_place) {
            if !is_empty {
                return (answer_page.entries, next, true);
            }
            rejected.iter_mut().for_each(&shorten);
            // A change of the state service is no longer than an answer and stores more of each job than the
            // answer contains, so the shortened entries fit.
            while answer_page
                .try_extend(std::mem::take(&mut rejected))
                .map_err(|r| rejected = r)
                .is_err()
            {
                rejected.pop();
            }
        }
        next = place + 1;
    }
    (answer_page.entries, next, false)
}
