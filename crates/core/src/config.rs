/*!
The replicated state machine of the configuration.

The version of a configuration is the offset of its record plus one. A record is accepted only if its expected version is
the one in force, so of two concurrent changes the first is accepted and the second is rejected with the version in force.
Versions never decrease: [`ConfigState::apply`] ignores offsets that were applied before, and [`ConfigState::adopt`]
accepts a peer's copy only if it is newer.
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

/// The number of accepted changes in the history.
pub const HISTORY_LENGTH: usize = 64;

plain! {
    /// The kind of an accepted change.
    pub enum Change {
        /// The profile set was replaced.
        Profiles,
        /// An availability zone was taken out of service or brought back.
        Zone {
            /// Name of the availability zone.
            availability_zone: AvailabilityZone,
            /// `true` if it was taken out of service, `false` if it was brought back.
            out: bool,
        },
    }

    /// An accepted change in the history.
    pub struct HistoryItem {
        /// The version that the change produced.
        pub version: u64,
        /// The operator, as named in the record.
        pub author: String,
        /// What was changed.
        pub change: Change,
    }

    /// Whether a configuration record was accepted.
    pub enum Verdict {
        /// The change is in force.
        Accepted {
            /// The version that the change produced.
            version: u64,
        },
        /// The expected version of the record was not the one in force.
        Conflict {
            /// The version in force, which a new attempt must expect.
            standing_version: u64,
        },
        /// The profile set has errors, or moves a service to another home cell.
        Invalid {
            /// The errors, with remedies.
            message: String,
        },
    }

    /// The verdict on one configuration record of a batch.
    pub struct Decision {
        /// Index of the record in its batch.
        pub index: usize,
        /// Whether the record was accepted.
        pub verdict: Verdict,
    }
}

/// The configuration as of [`next_offset`](Self::next_offset).
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
    /// Creates an empty configuration, which has version 0.
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

    /// The version in force; 0 before the first accepted record.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The offset after the last append that was applied or skipped.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// The profile set in force.
    pub fn set(&self) -> &Arc<ProfileSet> {
        &self.set
    }

    /// The TOML text of the profile set in force, as published. Empty before the first publication.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// The home cells of services, including removed ones.
    pub fn homes(&self) -> &Arc<HomeCells> {
        &self.homes
    }

    /// The availability zones that are out of service.
    pub fn zones_out(&self) -> &BTreeSet<AvailabilityZone> {
        &self.zones_out
    }

    /// Whether `zone` is out of service.
    pub fn is_out(&self, zone: &AvailabilityZone) -> bool {
        self.zones_out.contains(zone)
    }

    /// The last [`HISTORY_LENGTH`] accepted changes, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &HistoryItem> {
        self.history.iter()
    }

    /// The number of appends that could not be decoded.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Advances past an append that cannot be decoded, and counts it.
    pub fn skip(&mut self, offset: u64) {
        if offset >= self.next_offset {
            self.next_offset = offset + 1;
            self.skipped += 1;
        }
    }

    /// Applies one append and returns the verdicts on its configuration records. An append below
    /// [`next_offset`](Self::next_offset) was applied before and is ignored.
    pub fn apply(&mut self, offset: u64, batch: &Batch) -> Vec<Decision> {
        if offset < self.next_offset {
            return Vec::new();
        }
        self.next_offset = offset + 1;
        let decide = |(index, record)| self.decide(offset, record).map(|verdict| Decision { index, verdict });
        batch.records.iter().enumerate().filter_map(decide).collect()
    }

    /// Replaces the state by a peer's copy if the copy is newer. Returns whether it was replaced.
    pub fn adopt(&mut self, other: Self) -> bool {
        let newer = other.next_offset > self.next_offset && other.version >= self.version;
        if newer {
            *self = other;
        }
        newer
    }

    /// Serializes the state. Equal states have equal bytes.
    ///
    /// # Errors
    ///
    /// Fails if the encoder fails, which does not happen for a state built from records.
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

    /// Decodes the output of [`to_image`](Self::to_image).
    ///
    /// # Errors
    ///
    /// Fails if `bytes` is not a valid image of a configuration, or if this version cannot parse its profile set.
    pub fn from_image(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (image, rest) = postcard::take_from_bytes::<Image>(bytes)?;
        let set = if image.text.is_empty() { Ok(ProfileSet::default()) } else { ProfileSet::parse(&image.text) };
        let set = set.map_err(|_| postcard::Error::DeserializeBadEncoding)?;
        // Images written before home cells were introduced end here. All services were in cell 0 then.
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
        // Two records of one append would get the same version. The second is always rejected as a conflict, because it
        // cannot expect the version that the first one has just produced.
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

    /// Guards against two concurrent changes that are both accepted.
    #[test]
    fn the_second_of_two_concurrent_changes_is_a_conflict() {
        let mut config = ConfigState::new();
        let first = config.apply(0, &zone_out(0, "az-1"));
        let second = config.apply(1, &zone_out(0, "az-2"));
        assert_eq!(first[0].verdict, Verdict::Accepted { version: 1 });
        assert_eq!(second[0].verdict, Verdict::Conflict { standing_version: 1 });
        assert_eq!(config.zones_out().len(), 1);
    }

    /// Guards against a configuration that reverts when an old append or an old copy arrives late.
    #[test]
    fn old_appends_and_old_copies_are_ignored() {
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

    fn is_rejected(config: &mut ConfigState, offset: u64, services: &[(&str, u32)]) -> bool {
        let (version, set) = (config.version(), Arc::clone(config.set()));
        match config.apply(offset, &publish(version, services)).remove(0).verdict {
            Verdict::Invalid { message } => {
                assert!(message.contains("service.a.cell") && message.contains("new name"), "{message}");
                assert_eq!((config.version(), config.set()), (version, &set), "a rejected set changes nothing");
                true
            }
            verdict => {
                assert_eq!(verdict, Verdict::Accepted { version: offset + 1 });
                false
            }
        }
    }

    /// Guards against a service that moves to a cell without its idempotency keys, so that a retry repeats its work.
    #[test]
    fn a_service_keeps_its_home_cell() {
        let mut config = ConfigState::new();
        assert!(!is_rejected(&mut config, 0, &[("a", 1), ("b", 0)]));
        assert!(is_rejected(&mut config, 1, &[("a", 0), ("b", 0)]));
        assert!(!is_rejected(&mut config, 2, &[("a", 1), ("c", 2)]));
    }

    /// Guards against a service that moves to another cell by being removed and added again, with and without a snapshot
    /// in between.
    #[rstest::rstest]
    fn a_removed_service_can_be_added_only_in_its_home_cell(#[values(false, true)] from_image: bool) {
        let mut config = ConfigState::new();
        assert!(!is_rejected(&mut config, 0, &[("a", 1)]));
        assert!(!is_rejected(&mut config, 1, &[("b", 0)]));
        if from_image {
            config = ConfigState::from_image(&config.to_image().expect("an image")).expect("a state");
        }
        assert!(is_rejected(&mut config, 2, &[("a", 2)]));
        assert!(!is_rejected(&mut config, 3, &[("a", 1)]));
    }

    /// Guards against two concurrent publications that put one service into different cells.
    #[test]
    fn the_first_of_two_concurrent_home_cells_is_kept() {
        let mut config = ConfigState::new();
        let first = config.apply(0, &publish(0, &[("a", 1)]));
        let second = config.apply(1, &publish(0, &[("a", 2)]));
        assert_eq!(first[0].verdict, Verdict::Accepted { version: 1 });
        assert_eq!(second[0].verdict, Verdict::Conflict { standing_version: 1 });
        assert!(is_rejected(&mut config, 2, &[("a", 2)]), "a retry against the version in force moves the service");
    }

    /// Guards against an image of an earlier version that cannot be decoded or yields no home cells.
    #[test]
    fn an_image_without_home_cells_is_decoded() {
        let mut config = ConfigState::new();
        config.apply(0, &publish(0, &[("a", 0)]));
        let image = config.to_image().expect("an image");
        let homes = postcard::to_allocvec(&*config.homes).expect("encoded").len();
        let mut old = ConfigState::from_image(&image[..image.len() - homes]).expect("a state");
        assert_eq!(old, config);
        assert!(is_rejected(&mut old, 1, &[("a", 1)]));
    }
}
