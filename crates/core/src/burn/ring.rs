//! Rings of spans with a fixed width, the newest of which is being filled.

use serde::{Deserialize, Serialize};

use crate::units::TimeMs;

/// Adds up what two processes have counted.
pub trait Merge {
    /// Adds the other's share.
    fn merge(&mut self, other: &Self);
}

/// The last `slots × width_ms`, in slots of `width_ms`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Ring<T> {
    width_ms: u64,
    newest: u64,
    slots: Vec<T>,
}

impl<T: Default + Merge> Ring<T> {
    /// An empty ring. `width_ms` and `slots` must be at least 1.
    pub fn new(width_ms: u64, slots: usize) -> Self {
        let slots: Vec<T> = (0..slots.max(1)).map(|_| T::default()).collect();
        Self { width_ms: width_ms.max(1), newest: slots.len() as u64, slots }
    }

    /// The width of a slot.
    pub fn width_ms(&self) -> u64 {
        self.width_ms
    }

    /// The slot that is being filled. Slots that have left the ring are cleared; linear in their number.
    pub fn current(&mut self, now: TimeMs) -> &mut T {
        self.advance(now);
        let index = self.index(self.newest);
        &mut self.slots[index]
    }

    /// The filled slots with the age of their beginning, oldest first, as of `now`.
    pub fn iter(&self, now: TimeMs) -> impl Iterator<Item = (u64, &T)> {
        let last = self.number(now).max(self.newest);
        let oldest = last.saturating_add(1).saturating_sub(self.slots.len() as u64);
        let in_slot_ms = now.0 % self.width_ms;
        (oldest..=self.newest).map(move |number| {
            let age_ms = (last - number) * self.width_ms + in_slot_ms;
            (age_ms, &self.slots[self.index(number)])
        })
    }

    /// Adds a ring of the same shape that was copied at `taken` on its own clock and is `age_ms` old. A slot goes where
    /// its middle falls. Slots older than the ring are dropped, and a ring of another shape changes nothing.
    pub fn merge(&mut self, now: TimeMs, other: &Self, taken: TimeMs, age_ms: u64) {
        if other.width_ms != self.width_ms || other.slots.len() != self.slots.len() {
            return;
        }
        self.advance(now);
        let in_slot_ms = now.0 % self.width_ms;
        for (start_age_ms, slot) in other.iter(taken) {
            let middle_age_ms = (start_age_ms + age_ms).saturating_sub(self.width_ms / 2);
            let back = (middle_age_ms + self.width_ms - 1).saturating_sub(in_slot_ms) / self.width_ms;
            if back < self.slots.len() as u64 {
                let index = self.index(self.newest - back);
                self.slots[index].merge(slot);
            }
        }
    }

    fn advance(&mut self, now: TimeMs) {
        let number = self.number(now);
        for gone in (self.newest + 1..=number).take(self.slots.len()) {
            let index = self.index(gone);
            self.slots[index] = T::default();
        }
        self.newest = self.newest.max(number);
    }

    /// Slot numbers start at the length of the ring, so that slots from before the start of the process have a number.
    fn number(&self, now: TimeMs) -> u64 {
        now.0 / self.width_ms + self.slots.len() as u64
    }

    fn index(&self, number: u64) -> usize {
        (number % self.slots.len() as u64) as usize
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Debug, Clone, Default, PartialEq)]
    struct Sum(u64);

    impl Merge for Sum {
        fn merge(&mut self, other: &Self) {
            self.0 += other.0;
        }
    }

    fn sum(ring: &Ring<Sum>, now: u64) -> u64 {
        ring.iter(TimeMs(now)).map(|(_, slot)| slot.0).sum()
    }

    /// Guards against old counts that come back when the ring wraps around or time jumps.
    #[test]
    fn slots_leave_when_their_time_has_passed() {
        let mut ring = Ring::<Sum>::new(10, 3);
        ring.current(TimeMs(5)).0 += 1;
        ring.current(TimeMs(15)).0 += 10;
        assert_eq!(
            [sum(&ring, 15), sum(&ring, 29), sum(&ring, 30), sum(&ring, 40), sum(&ring, 999)],
            [11, 11, 10, 0, 0]
        );
        ring.current(TimeMs(1_000)).0 += 7;
        assert_eq!(sum(&ring, 1_000), 7);
    }

    /// Guards against counts that are lost, or moved by more than a slot, when two clocks are not aligned.
    #[test]
    fn a_merge_keeps_counts_within_one_slot_of_their_age() {
        for (ours, theirs, age_ms) in [(0, 0, 0), (3, 9, 0), (9, 1, 10), (25, 104, 7), (7, 5, 13)] {
            let mut ring = Ring::<Sum>::new(10, 3);
            let mut other = Ring::<Sum>::new(10, 3);
            other.current(TimeMs(theirs)).0 += 1;
            ring.merge(TimeMs(ours), &other, TimeMs(theirs), age_ms);
            let place = ring.iter(TimeMs(ours)).find(|(_, slot)| slot.0 == 1).map(|(start_age_ms, _)| start_age_ms);
            assert!(place.is_some_and(|p| p + 10 > age_ms && p < age_ms + 20), "{ours} {theirs} {age_ms} {place:?}");
            ring.merge(TimeMs(ours), &other, TimeMs(theirs), 40);
            assert_eq!(sum(&ring, ours), 1, "{ours} {theirs} {age_ms}");
        }
    }
}
