//! Ring buffers of time slots.

use serde::{Deserialize, Serialize};

use crate::units::TimeMs;

/// A statistic of which the values of two processes can be combined.
pub trait Merge {
    /// Adds `other` to `self`.
    fn merge(&mut self, other: &Self);
}

/// A ring buffer that covers the last `slots × width_ms` in time slots of `width_ms`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Ring<T> {
    width_ms: u64,
    newest: u64,
    slots: Vec<T>,
}

impl<T: Default + Merge> Ring<T> {
    /// Creates an empty ring. A `width_ms` or `slots` of zero is raised to 1.
    pub fn new(width_ms: u64, slots: usize) -> Self {
        let slots: Vec<T> = (0..slots.max(1)).map(|_| T::default()).collect();
        Self { width_ms: width_ms.max(1), newest: slots.len() as u64, slots }
    }

    /// The length of a slot, in milliseconds.
    pub fn width_ms(&self) -> u64 {
        self.width_ms
    }

    /// The slot of the current time. Clears the slots whose time has passed, which is linear in their number.
    pub fn current(&mut self, now: TimeMs) -> &mut T {
        self.advance(now);
        let index = self.index(self.newest);
        &mut self.slots[index]
    }

    /// The slots that are in the ring at `now`, oldest first, with the time since the start of each slot.
    pub fn iter(&self, now: TimeMs) -> impl Iterator<Item = (u64, &T)> {
        let last = self.slot_number(now).max(self.newest);
        let oldest = last.saturating_add(1).saturating_sub(self.slots.len() as u64);
        let in_slot_ms = now.0 % self.width_ms;
        (oldest..=self.newest).map(move |number| {
            let age_ms = (last - number) * self.width_ms + in_slot_ms;
            (age_ms, &self.slots[self.index(number)])
        })
    }

    /// Adds a ring with the same slot width and number of slots, which was copied at `taken` on its own clock and is
    /// `age_ms` old. Each slot is added to the one that contains its midpoint. Slots older than this ring are dropped. A
    /// ring with other dimensions is ignored.
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
        let number = self.slot_number(now);
        for reused in (self.newest + 1..=number).take(self.slots.len()) {
            let index = self.index(reused);
            self.slots[index] = T::default();
        }
        self.newest = self.newest.max(number);
    }

    /// Slot numbers start at the length of the ring, so that slots before the start of the process also have a number.
    fn slot_number(&self, now: TimeMs) -> u64 {
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

    /// Guards against old counts that reappear when the ring wraps around or time jumps ahead.
    #[test]
    fn slots_are_cleared_when_their_time_has_passed() {
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

    /// Guards against counts that are lost, or shifted by more than one slot, when two clocks are not aligned.
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
