//! Controllers that stand still or are cut off from workers alone, and jobs submitted with a mistake.

use super::*;

#[derive(Default)]
pub struct Troubles {
    /// Controllers that workers, of one zone or of all, cannot reach, nor they them; until when.
    pub cuts: BTreeMap<usize, (Ms, Option<ZoneId>)>,
    /// Controllers that stand still, until when, with what has come for them meanwhile.
    frozen: BTreeMap<usize, (Ms, Vec<Event>)>,
    /// Jobs that fail on every machine.
    pub broken: BTreeSet<JobId>,
}

impl Troubles {
    pub fn cut_off(&self, node: usize, zone: &ZoneId, now: Ms) -> bool {
        let cut = self.cuts.get(&node).filter(|c| c.0 > now);
        cut.is_some_and(|c| c.1.as_ref().is_none_or(|z| z == zone))
    }
}

impl World {
    /// The controller stands still while its clocks run on.
    pub fn freeze(&mut self, node: usize, for_ms: u64) {
        self.troubles.frozen.insert(node, (self.now.plus(for_ms), Vec::new()));
        self.at(for_ms, Happens::Thaw(node, self.lives[node]));
    }

    /// Keeps back what comes for a controller that stands still; its clock's ticks are not made up for.
    pub(super) fn kept_back(&mut self, node: usize, event: Event) -> Option<Event> {
        let Some((until, kept)) = self.troubles.frozen.get_mut(&node) else { return Some(event) };
        if *until <= self.now {
            return Some(event);
        }
        if !matches!(event, Event::Tick) {
            kept.push(event);
        }
        None
    }

    /// It goes on, with all that has come meanwhile before its first tick.
    pub(super) fn thaw(&mut self, node: usize, life: u32) {
        let kept = self.troubles.frozen.remove(&node).map(|f| f.1).unwrap_or_default();
        if self.lives[node] == life {
            kept.into_iter().for_each(|event| self.give(node, event));
        }
    }
}
