/*!
Partitioning of a deployment into cells: home cells of services, quota shares per cell, and the append rate per writer.

```
use fescuelead_core::cells::append_spacing_ms;

// 30 writers share 300 appends per second.
assert_eq!(append_spacing_ms(10, 3, 10), 100);
// With few writers, the configured spacing is the longer one.
assert_eq!(append_spacing_ms(10, 2, 1), 10);
```
*/

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{ServiceName, TeamId},
    profile::ProfileSet,
    units::Resources,
};

/// The highest cell number. Cells are numbered from 0.
pub const MAX_CELL: u32 = 1_023;
/// The maximum rate of appends over all writers of all cells. The log service accepts several hundred per second.
pub const MAX_APPENDS_PER_S: u64 = 300;
/// The number of removed services whose home cells are remembered, to bound the state. The keys of a removed service
/// expire long before this many other services have been removed.
pub const MAX_REMOVED_SERVICES: usize = 4_096;

/// The minimum time between two appends of one writer: `setting_ms`, or longer if the writers of all cells would exceed
/// [`MAX_APPENDS_PER_S`] together.
pub fn append_spacing_ms(setting_ms: u64, registered_entries: usize, cells: usize) -> u64 {
    let writers = (registered_entries.max(1) as u64).saturating_mul(cells.max(1) as u64);
    writers.saturating_mul(1_000).div_ceil(MAX_APPENDS_PER_S).max(setting_ms)
}

/// The cells in use: home cells of services, cells with a quota share, and cell 0.
pub fn cells_in_use(set: &ProfileSet) -> BTreeSet<u32> {
    let homes = set.services.values().map(|service| service.cell);
    let shares = set.teams.values().flat_map(|team| team.shares().into_keys());
    std::iter::once(0).chain(homes).chain(shares).collect()
}

/// The home cells of the services that use a profile of `team`.
fn home_cells_of_team(set: &ProfileSet, team: &TeamId) -> BTreeSet<u32> {
    let uses = |profile| set.profiles.get(profile).is_some_and(|profile| profile.team == *team);
    set.services.values().filter(|service| uses(&service.profile)).map(|service| service.cell).collect()
}

/// The share of each team's quota that `cell` enforces. Shares are rounded down, so that their sum over all cells does
/// not exceed the quota. Linear in the size of the set.
pub fn cell_quotas(set: &ProfileSet, cell: u32) -> BTreeMap<TeamId, Resources> {
    set.teams.keys().filter_map(|team| Some((team.clone(), cell_quota(set, team, cell)?))).collect()
}

/// The share of a team's quota that `cell` enforces, or `None` if the team is not in the set.
pub fn cell_quota(set: &ProfileSet, id: &TeamId, cell: u32) -> Option<Resources> {
    let team = set.teams.get(id)?;
    if !team.cell_shares.is_empty() {
        return Some(fraction(&team.quota, team.shares().get(&cell).copied().unwrap_or(0), 100));
    }
    let homes = home_cells_of_team(set, id);
    Some(match (homes.is_empty(), homes.contains(&cell)) {
        (true, _) => fraction(&team.quota, u32::from(cell == 0), 1),
        (false, true) => fraction(&team.quota, 1, u32::try_from(homes.len()).unwrap_or(u32::MAX)),
        (false, false) => Resources::ZERO,
    })
}

/// `numerator / denominator` of each component of `resources`, rounded down.
fn fraction(resources: &Resources, numerator: u32, denominator: u32) -> Resources {
    let scale = |amount: u32| {
        let scaled = u64::from(amount) * u64::from(numerator) / u64::from(denominator.max(1));
        u32::try_from(scaled).unwrap_or(u32::MAX)
    };
    Resources::new(scale(resources.cpu_milli), scale(resources.memory_mib))
        .with_accelerators(scale(resources.accelerators))
}

/// The home cells of all services, including removed ones. The home cell of a removed service still holds its idempotency
/// keys, so the service may be added again only in that cell.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeCells {
    homes: BTreeMap<ServiceName, Home>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Home {
    cell: u32,
    /// The configuration version that removed the service; `None` while it exists.
    removed_in: Option<u64>,
}

impl HomeCells {
    /// Returns the home cell of a current or remembered service.
    pub fn get(&self, service: &str) -> Option<u32> {
        self.homes.iter().find(|(known, _)| known.as_str() == service).map(|(_, home)| home.cell)
    }

    /// Iterates over the home cells of all current and remembered services.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, u32)> {
        self.homes.iter().map(|(service, home)| (service, home.cell))
    }

    /// Returns an error message with a remedy if `set` changes the home cell of a service, and `None` otherwise.
    pub fn change_error(&self, set: &ProfileSet) -> Option<String> {
        let moved = set.services.iter().filter_map(|(name, service)| {
            let home = self.homes.get(name).filter(|home| home.cell != service.cell)?;
            Some(home_cell_change_message(name.as_str(), home.cell, service.cell))
        });
        let moved: Vec<_> = moved.collect();
        (!moved.is_empty()).then(|| moved.join("\n"))
    }

    /// Records the home cells of a profile set that was accepted as `version`.
    pub(crate) fn accept(&mut self, set: &ProfileSet, version: u64) {
        for (name, home) in &mut self.homes {
            match set.services.contains_key(name) {
                true => home.removed_in = None,
                false => home.removed_in = home.removed_in.or(Some(version)),
            }
        }
        for (name, service) in &set.services {
            self.homes.entry(name.clone()).or_insert(Home { cell: service.cell, removed_in: None });
        }
        self.drop_oldest_removed();
    }

    /// Drops the services that were removed first, beyond [`MAX_REMOVED_SERVICES`].
    fn drop_oldest_removed(&mut self) {
        let removed = |(name, home): (&ServiceName, &Home)| Some((home.removed_in?, name.clone()));
        let mut removed: Vec<_> = self.homes.iter().filter_map(removed).collect();
        removed.sort_unstable();
        let excess = removed.len().saturating_sub(MAX_REMOVED_SERVICES);
        removed.iter().take(excess).for_each(|(_, name)| {
            self.homes.remove(name);
        });
    }
}

/// The error message for a profile set that moves `service` from cell `home` to cell `requested`, with a remedy.
pub fn home_cell_change_message(service: &str, home: u32, requested: u32) -> String {
    format!(
        "service.{service}.cell: the home cell of a service cannot change, because cell {requested} does not know the \
         keys of cell {home}; keep cell = {home}, or add a service with a new name in cell {requested}"
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    fn set(teams: &str, services: &[(&str, u32)]) -> ProfileSet {
        let services: String =
            services.iter().map(|(name, cell)| format!("[service.{name}]\nprofile = \"p\"\ncell = {cell}\n")).collect();
        let profile = "[profile.p]\nkind = \"batch\"\nteam = \"t\"\nresources = { cpu_milli = 1, memory_mib = 1 }\n";
        ProfileSet::parse(&format!("{teams}{profile}{services}")).expect("a valid set")
    }

    fn shares(set: &ProfileSet) -> Vec<Resources> {
        let team = TeamId::new("t").expect("valid id");
        (0..=MAX_CELL).filter_map(|cell| cell_quota(set, &team, cell)).collect()
    }

    /// Guards against cells that together let a team use more than its quota.
    #[rstest::rstest]
    #[case::fixed("cell_shares = { \"0\" = 33, \"7\" = 67 }", &[("a", 0)])]
    #[case::fixed_in_part("cell_shares = { \"0\" = 10, \"7\" = 15 }", &[("a", 0)])]
    #[case::even("", &[("a", 0), ("b", 4), ("c", 1023), ("d", 4)])]
    #[case::without_services("", &[])]
    fn the_shares_of_all_cells_never_exceed_the_quota(#[case] fixed: &str, #[case] services: &[(&str, u32)]) {
        for amount in [100, 101, 997, u32::MAX] {
            let team =
                format!("[team.t]\nquota = {{ cpu_milli = {amount}, memory_mib = {amount}, accelerators = 7 }}\n");
            let shares = shares(&set(&format!("{team}{fixed}\n"), services));
            let sum = |of: fn(&Resources) -> u32| shares.iter().map(|share| u64::from(of(share))).sum::<u64>();
            assert!(sum(|r| r.cpu_milli) <= u64::from(amount), "{shares:?}");
            assert!(sum(|r| r.memory_mib) <= u64::from(amount));
            assert!(sum(|r| r.accelerators) <= 7);
        }
    }

    /// Guards against shares that are rounded up, and against a share for a cell that should have none.
    #[test]
    fn shares_are_rounded_down() {
        let team = "[team.t]\nquota = { cpu_milli = 1000, memory_mib = 101, accelerators = 1 }\n";
        let even = shares(&set(team, &[("a", 0), ("b", 2), ("c", 5)]));
        assert_eq!(even[2], Resources::new(333, 33));
        assert_eq!((even[5], even[1]), (even[0], Resources::ZERO));
        let fixed = shares(&set(&format!("{team}cell_shares = {{ \"2\" = 50 }}\n"), &[("b", 2)]));
        assert_eq!((fixed[0], fixed[2]), (Resources::ZERO, Resources::new(500, 50)));
    }

    /// Guards against a team that has no quota anywhere because no service uses its profiles yet.
    #[test]
    fn a_team_without_services_has_its_quota_in_cell_0() {
        let quota = Resources::new(1000, 100);
        let team = "[team.t]\nquota = { cpu_milli = 1000, memory_mib = 100 }\n";
        assert_eq!(shares(&set(team, &[]))[..2], [quota, Resources::ZERO]);
        assert_eq!(shares(&set(team, &[("a", 0)]))[0], quota);
    }

    /// Guards against exceeding the rate limit of the log service when entries or cells are added.
    #[rstest::rstest]
    #[case::none_registered(0, 0, 10)]
    #[case::three_entries(3, 1, 10)]
    #[case::four_entries(4, 1, 14)]
    #[case::ten_entries(10, 1, 34)]
    #[case::ten_cells(3, 10, 100)]
    #[case::rounded_up(1, 7, 24)]
    fn the_spacing_grows_with_entries_and_cells(#[case] entries: usize, #[case] cells: usize, #[case] expected: u64) {
        let spacing_ms = append_spacing_ms(10, entries, cells);
        assert_eq!(spacing_ms, expected);
        assert!((entries * cells) as u64 * 1_000 <= spacing_ms * MAX_APPENDS_PER_S);
    }

    /// Guards against a computed spacing that replaces a longer configured one.
    #[test]
    fn a_longer_configured_spacing_applies() {
        assert_eq!(append_spacing_ms(200, 3, 10), 200);
    }

    /// Guards against cells that are not counted, so that their appends exceed the rate limit.
    #[test]
    fn cells_in_use_are_cell_0_and_those_of_services_and_shares() {
        let team =
            "[team.t]\nquota = { cpu_milli = 1000, memory_mib = 100 }\ncell_shares = { \"9\" = 5, \"3\" = 95 }\n";
        assert_eq!(cells_in_use(&set(team, &[("a", 3), ("b", 3)])), BTreeSet::from([0, 3, 9]));
        assert_eq!(cells_in_use(&ProfileSet::default()), BTreeSet::from([0]));
    }

    /// Guards against state that grows without bound as services are removed, and against dropping an existing service.
    #[test]
    fn the_service_that_was_removed_first_is_dropped_first() {
        let team = "[team.t]\nquota = { cpu_milli = 1000, memory_mib = 100 }\n";
        let mut homes = HomeCells::default();
        homes.accept(&set(team, &[("keep", 1), ("gone", 2)]), 1);
        for version in 0..MAX_REMOVED_SERVICES as u64 {
            homes.accept(&set(team, &[("keep", 1), (&format!("s{version}"), 3)]), 2 + version);
        }
        assert_eq!((homes.get("keep"), homes.get("gone"), homes.get("s0")), (Some(1), Some(2), Some(3)));
        homes.accept(&set(team, &[("keep", 1)]), 1_000_000);
        assert_eq!((homes.get("keep"), homes.get("gone"), homes.get("s0")), (Some(1), None, Some(3)));
    }
}
