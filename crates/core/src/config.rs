/*!
The fold of the configuration stream.

The version of a configuration is the offset of its record plus one. A record is accepted only if it names the version in
force, so that of two racing operators one wins and the other is told which version stands. Versions only grow:
[`ConfigState::apply`] ignores offsets that it has already folded, and [`ConfigState::adopt`] takes a peer's copy only if
it is newer.
*/

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    cells::HomeCells,
    ids::AvailabilityZone,
    profile::ProfileSet,
    record::{Batch, Record},
};

/// The number of accepted changes that are kept for operators to look at.
pub const HISTORY_LENGTH: usize = 64;

data_types! {
    /// What an accepted record changed.
    pub enum Change {
        /// The profile set was replaced.
        Profiles,
        /// An availability zone was taken out or brought back.
        Zone {
            /// The availability zone.
            availability_zone: AvailabilityZone,
            /// Whether it is out of service.
            out: bool,
        },
    }

    /// One accepted change.
    pub struct HistoryItem {
        /// The version that it made.
        pub version: u64,
        /// Who made it.
        pub author: String,
        /// What it changed.
        pub change: Change,
    }

    /// What became of a configuration record.
    pub enum Verdict {
        /// It is in force.
        Accepted {
            /// The new version.
            version: u64,
        },
        /// Another version was in force.
        Conflict {
            /// The version that stands.
            standing_version: u64,
        },
        /// Its profile set cannot be used.
        Invalid {
            /// Why, with the remedy.
            message: String,
        },
    }

    /// The verdict on one record of a batch.
    pub struct Decision {
        /// The place of the record in its batch.
        pub index: usize,
        /// The verdict.
        pub verdict: Verdict,
    }
}

/// The configuration in force, as of an offset.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigState {
    next_offset: u64,
    version: u64,
    text: Arc<str>,
    set: Arc<ProfileSet>,
    homes: Arc<HomeCells>,
    zones_out: BTreeSet<AvailabilityZone>,
    history: VecDeque<HistoryItem>,
    skipped: u64,
}

#[derive(Serialize, Deserialize)]
struct Image {
    next_offset: u64,
    version: u64,
    text: Arc<str>,
    zones_out: BTreeSet<AvailabilityZone>,
    history: VecDeque<HistoryItem>,
    skipped: u64,
}

impl Default for ConfigState {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigState {
    /// The empty configuration, version 0.
    pub fn new() -> Self {
        Self {
            next_offset: 0,
            version: 0,
            text: Arc::from(""),
            set: Arc::default(),
            homes: Arc::default(),
            zones_out: BTreeSet::new(),
            history: VecDeque::new(),
            skipped: 0,
        }
    }

    /// The version in force.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The offset after the last folded append.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// The profile set in force.
    pub fn set(&self) -> &Arc<ProfileSet> {
        &self.set
    }

    /// The profile set in force as it was published.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// The home cells of services, also of those that were removed.
    pub fn homes(&self) -> &Arc<HomeCells> {
        &self.homes
    }

    /// The availability zones that are out of service.
    pub fn zones_out(&self) -> &BTreeSet<AvailabilityZone> {
        &self.zones_out
    }

    /// Whether an availability zone is out of service.
    pub fn is_out(&self, zone: &AvailabilityZone) -> bool {
        self.zones_out.contains(zone)
    }

    /// Accepted changes, oldest first, at most [`HISTORY_LENGTH`].
    pub fn history(&self) -> impl Iterator<Item = &HistoryItem> {
        self.history.iter()
    }

    /// The number of appends that could not be decoded.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Passes over an append that could not be decoded.
    pub fn skip(&mut self, offset: u64) {
        if offset >= self.next_offset {
            self.next_offset = offset + 1;
            self.skipped += 1;
        }
    }

    /// Folds one append and says what became of its configuration records. An offset below
    /// [`next_offset`](Self::next_offset) was folded before and changes nothing.
    pub fn apply(&mut self, offset: u64, batch: &Batch) -> Vec<Decision> {
        if offset < self.next_offset {
            return Vec::new();
        }
        self.next_offset = offset + 1;
        let decide = |(index, record)| self.decide(offset, record).map(|verdict| Decision { index, verdict });
        batch.records.iter().enumerate().filter_map(decide).collect()
    }

    /// Takes a peer's copy if it is newer and says whether it did.
    pub fn adopt(&mut self, other: Self) -> bool {
        let newer = other.next_offset > self.next_offset && other.version >= self.version;
        if newer {
            *self = other;
        }
        newer
    }

    /// The state as bytes. Equal states have equal bytes.
    ///
    /// # Errors
    ///
    /// Fails if the encoder does; it does not for any state that was folded.
    pub fn to_image(&self) -> Result<Vec<u8>, postcard::Error> {
        let image = Image {
            next_offset: self.next_offset,
            version: self.version,
            text: self.text.clone(),
            zones_out: self.zones_out.clone(),
            history: self.history.clone(),
            skipped: self.skipped,
        };
        postcard::to_extend(&*self.homes, postcard::to_allocvec(&image)?)
    }

    /// Reads a state back.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no image of a configuration, or if this program cannot read its profile set.
    pub fn from_image(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (image, rest) = postcard::take_from_bytes::<Image>(bytes)?;
        let set = if image.text.is_empty() { Ok(ProfileSet::default()) } else { ProfileSet::parse(&image.text) };
        let set = set.map_err(|_| postcard::Error::DeserializeBadEncoding)?;
        // Images of versions before home cells end here; all services were in cell 0.
        let homes = if rest.is_empty() {
            let mut homes = HomeCells::default();
            homes.accept(&set, image.version);
            homes
        } else {
            postcard::from_bytes(rest)?
        };
        Ok(Self {
            next_offset: image.next_offset,
            version: image.version,
            set: Arc::new(set),
            homes: Arc::new(homes),
            text: image.text,
            zones_out: image.zones_out,
            history: image.history,
            skipped: image.skipped,
        })
    }

    fn decide(&mut self, offset: u64, record: &Record) -> Option<Verdict> {
        match record {
            Record::ProfilesPublished { expected_version, text, author } => {
                Some(self.publish(offset, *expected_version, text, author))
            }
            Record::ZoneSet { expected_version, availability_zone, out, author } => {
                Some(self.set_zone(offset, *expected_version, availability_zone, *out, author))
            }
            _ => None,
        }
    }

    fn publish(&mut self, offset: u64, expected_version: u64, text: &str, author: &str) -> Verdict {
        if expected_version != self.version {
            return Verdict::Conflict { standing_version: self.version };
        }
        let set = match ProfileSet::parse(text) {
            Ok(set) => set,
            Err(error) => return Verdict::Invalid { message: error.to_string() },
        };
        if let Some(message) = self.homes.change_error(&set) {
            return Verdict::Invalid { message };
        }
        Arc::make_mut(&mut self.homes).accept(&set, offset + 1);
        self.set = Arc::new(set);
        self.text = Arc::from(text);
        self.accept(offset, author, Change::Profiles)
    }

    fn set_zone(
        &mut self,
        offset: u64,
        expected_version: u64,
        zone: &AvailabilityZone,
        out: bool,
        author: &str,
    ) -> Verdict {
        if expected_version != self.version {
            return Verdict::Conflict { standing_version: self.version };
        }
        if out {
            self.zones_out.insert(zone.clone());
        } else {
            self.zones_out.remove(zone);
        }
        self.accept(offset, author, Change::Zone { availability_zone: zone.clone(), out })
    }

    fn accept(&mut self, offset: u64, author: &str, change: Change) -> Verdict {
        // Two records of one append would share a version; the second one names the first one's predecessor and is
        // refused above, because `version` has already moved on.
        self.version = offset + 1;
        if self.history.len() == HISTORY_LENGTH {
            self.history.pop_front();
        }
        self.history.push_back(HistoryItem { version: self.version, author: author.to_owned(), change });
        Verdict::Accepted { version: self.version }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ids::EntryId;

    fn zone_out(expected_version: u64, name: &str) -> Batch {
        let availability_zone = AvailabilityZone::new(name).expect("valid id");
        let record = Record::ZoneSet { expected_version, availability_zone, out: true, author: "ops".to_owned() };
        Batch::new(EntryId::new("entry-a").expect("valid id"), 1, 1).with_record(record)
    }

    /// Guards against both of two racing operators being told that they won.
    #[test]
    fn of_two_racing_changes_the_first_wins_and_the_second_learns_what_stands() {
        let mut config = ConfigState::new();
        let first = config.apply(0, &zone_out(0, "az-1"));
        let second = config.apply(1, &zone_out(0, "az-2"));
        assert_eq!(first[0].verdict, Verdict::Accepted { version: 1 });
        assert_eq!(second[0].verdict, Verdict::Conflict { standing_version: 1 });
        assert_eq!(config.zones_out().len(), 1);
    }

    /// Guards against a configuration that reverts when old appends or an old copy arrive again.
    #[test]
    fn old_offsets_and_old_copies_change_nothing() {
        let mut config = ConfigState::new();
        let old = config.clone();
        config.apply(4, &zone_out(0, "az-1"));
        assert!(config.apply(4, &zone_out(0, "az-2")).is_empty());
        assert!(!config.adopt(old));
        assert_eq!(config.version(), 5);
    }

    fn publish(expected_version: u64, services: &[(&str, u32)]) -> Batch {
        let services =
            services.iter().map(|(name, cell)| format!("[service.{name}]\nprofile = \"p\"\ncell = {cell}\n"));
        let head = "[team.t]\nquota = { cpu_milli = 1, memory_mib = 1 }\n[profile.p]\nkind = \"latency-critical\"\nteam = \"t\"\n";
        let text = std::iter::once(head.to_owned()).chain(services).collect();
        let record = Record::ProfilesPublished { expected_version, text, author: "ops".to_owned() };
        Batch::new(EntryId::new("entry-a").expect("valid id"), 1, 1).with_record(record)
    }

    fn is_refused(config: &mut ConfigState, offset: u64, services: &[(&str, u32)]) -> bool {
        let (version, set) = (config.version(), Arc::clone(config.set()));
        match config.apply(offset, &publish(version, services)).remove(0).verdict {
            Verdict::Invalid { message } => {
                assert!(message.contains("service.a.cell") && message.contains("new name"), "{message}");
                assert_eq!((config.version(), config.set()), (version, &set), "a refused set changes nothing");
                true
            }
            verdict => {
                assert_eq!(verdict, Verdict::Accepted { version: offset + 1 });
                false
            }
        }
    }

    /// Guards against a service that moves to a cell which does not know the keys of its work, so that work is repeated.
    #[test]
    fn a_service_keeps_its_home_cell() {
        let mut config = ConfigState::new();
        assert!(!is_refused(&mut config, 0, &[("a", 1), ("b", 0)]));
        assert!(is_refused(&mut config, 1, &[("a", 0), ("b", 0)]));
        assert!(!is_refused(&mut config, 2, &[("a", 1), ("c", 2)]));
    }

    /// Guards against the same move by way of a removal, also when the removal was carried by a snapshot.
    #[rstest::rstest]
    fn a_service_that_was_removed_comes_back_in_its_home_cell_only(#[values(false, true)] from_image: bool) {
        let mut config = ConfigState::new();
        assert!(!is_refused(&mut config, 0, &[("a", 1)]));
        assert!(!is_refused(&mut config, 1, &[("b", 0)]));
        if from_image {
            config = ConfigState::from_image(&config.to_image().expect("an image")).expect("a state");
        }
        assert!(is_refused(&mut config, 2, &[("a", 2)]));
        assert!(!is_refused(&mut config, 3, &[("a", 1)]));
    }

    /// Guards against two racing operators who put one service into two cells: the second is told of the first.
    #[test]
    fn of_two_racing_home_cells_the_first_stands() {
        let mut config = ConfigState::new();
        let first = config.apply(0, &publish(0, &[("a", 1)]));
        let second = config.apply(1, &publish(0, &[("a", 2)]));
        assert_eq!(first[0].verdict, Verdict::Accepted { version: 1 });
        assert_eq!(second[0].verdict, Verdict::Conflict { standing_version: 1 });
        assert!(is_refused(&mut config, 2, &[("a", 2)]), "the loser publishes again against the version that stands");
    }

    /// Guards against a snapshot of an earlier version that cannot be read, or loses the home cells of its services.
    #[test]
    fn an_image_without_home_cells_is_read() {
        let mut config = ConfigState::new();
        config.apply(0, &publish(0, &[("a", 0)]));
        let image = config.to_image().expect("an image");
        let homes = postcard::to_allocvec(&*config.homes).expect("encoded").len();
        let mut old = ConfigState::from_image(&image[..image.len() - homes]).expect("a state");
        assert_eq!(old, config);
        assert!(is_refused(&mut old, 1, &[("a", 1)]));
    }
}
