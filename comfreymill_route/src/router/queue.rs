use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::time;

/// Position of a request in its team's queue: deadline first, then order of arrival.
type Key = (time::Monotonic, u64);

/// Increase of a team's pass per request at a share of 1.
const PASS_PER_REQUEST: u64 = 1_000_000;

/// Queued requests of a team at one priority, with the service that the team has received.
#[derive(Debug, Default)]
struct Team {
    /// Pass value of stride scheduling; the team with the lowest one is served next.
    pass: u64,
    classes: BTreeMap<usize, BTreeSet<Key>>,
    queued: usize,
}

/// Queued requests of one priority.
#[derive(Debug, Default)]
struct Level {
    teams: HashMap<id::TeamName, Team>,
    /// Pass of the team served last; a team starts at this value when it begins to wait.
    pass: u64,
    queued: usize,
}

/// Requests queued for one service.
///
/// The highest priority is served first. Within a priority, teams are served by weighted fair share
/// (stride scheduling), and within a team, the request with the earliest deadline is served first.
#[derive(Debug, Default)]
pub(super) struct Queue {
    levels: BTreeMap<Reverse<document::Priority>, Level>,
    queued: usize,
}

/// Identity and order of a queued request.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct QueuedRequest {
    pub(super) request: u64,
    pub(super) class: usize,
    pub(super) priority: document::Priority,
    pub(super) team: id::TeamName,
    pub(super) deadline: time::Monotonic,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.queued
    }

    pub(super) fn push(&mut self, waiting: &QueuedRequest) {
        let level = self.levels.entry(Reverse(waiting.priority)).or_default();
        let floor = level.pass;
        let team = level.teams.entry(waiting.team.clone()).or_default();
        if team.queued == 0 {
            team.pass = team.pass.max(floor);
        }
        let keys = team.classes.entry(waiting.class).or_default();
        if keys.insert((waiting.deadline, waiting.request)) {
            team.queued += 1;
            level.queued += 1;
            self.queued += 1;
        }
    }

    pub(super) fn remove(&mut self, waiting: &QueuedRequest) -> bool {
        let Some(level) = self.levels.get_mut(&Reverse(waiting.priority)) else { return false };
        let Some(team) = level.teams.get_mut(&waiting.team) else { return false };
        let Some(keys) = team.classes.get_mut(&waiting.class) else { return false };
        if !keys.remove(&(waiting.deadline, waiting.request)) {
            return false;
        }
        if keys.is_empty() {
            team.classes.remove(&waiting.class);
        }
        team.queued -= 1;
        level.queued -= 1;
        self.queued -= 1;
        true
    }

    /// Charges a sent request to its team's share.
    pub(super) fn charge(&mut self, priority: document::Priority, name: &id::TeamName, share: u32) {
        let level = self.levels.entry(Reverse(priority)).or_default();
        let floor = level.pass;
        let stride = PASS_PER_REQUEST / u64::from(share.max(1));
        let team = level.teams.entry(name.clone()).or_default();
        let start = team.pass.max(floor);
        team.pass = start + stride;
        level.pass = start;
    }

    /// Returns the next request to serve whose class is not in `blocked`.
    pub(super) fn first(&self, blocked: &[usize]) -> Option<QueuedRequest> {
        let levels = self.levels.iter().filter(|(_, level)| level.queued > 0);
        levels.filter_map(|(priority, level)| first_of_level(priority.0, level, blocked)).next()
    }

    /// Returns the request with the earliest deadline of each priority, team and class.
    pub(super) fn earliest_per_class(&self) -> Vec<QueuedRequest> {
        let mut earliest = Vec::new();
        for (priority, level) in &self.levels {
            for (name, team) in &level.teams {
                for (class, keys) in &team.classes {
                    let Some((deadline, request)) = keys.first().copied() else { continue };
                    let (class, priority, team) = (*class, priority.0, name.clone());
                    earliest.push(QueuedRequest { request, class, priority, team, deadline });
                }
            }
        }
        earliest
    }

    /// Returns the request to evict when the class is full: the latest one of the team that is
    /// furthest over its share, or `None` if that is `team` itself.
    pub(super) fn eviction_candidate<F>(
        &self,
        class: usize,
        priority: document::Priority,
        team: &id::TeamName,
        share_of: F,
    ) -> Option<QueuedRequest>
    where
        F: Fn(&id::TeamName) -> u32,
    {
        let level = self.levels.get(&Reverse(priority))?;
        let load = |name: &id::TeamName, more: usize| {
            let queued = level.teams.get(name).and_then(|team| team.classes.get(&class));
            let queued = queued.map_or(0, BTreeSet::len) + more;
            queued as f64 / f64::from(share_of(name).max(1))
        };
        let own = load(team, 1);
        let most_over_share = level
            .teams
            .iter()
            .filter(|(name, state)| *name != team && state.classes.contains_key(&class))
            .map(|(name, state)| (load(name, 0), name, state))
            .filter(|(load, _, _)| *load > own)
            .max_by(|(a, x, _), (b, y, _)| a.total_cmp(b).then_with(|| x.cmp(y)))?;
        let (_, name, state) = most_over_share;
        let (deadline, request) = *state.classes.get(&class)?.last()?;
        Some(QueuedRequest { request, class, priority, team: name.clone(), deadline })
    }

    /// Estimates how many queued requests are served before a new one of `team`, by the shares of
    /// the waiting teams.
    pub(super) fn requests_ahead<F>(
        &self,
        priority: document::Priority,
        team: &id::TeamName,
        deadline: time::Monotonic,
        share_of: F,
    ) -> f64
    where
        F: Fn(&id::TeamName) -> u32,
    {
        let above: usize = self
            .levels
            .iter()
            .take_while(|(level, _)| level.0 > priority)
            .map(|(_, level)| level.queued)
            .sum();
        let Some(level) = self.levels.get(&Reverse(priority)) else { return above as f64 };
        let own = level.teams.get(team).map_or(0, |state| count_before(state, deadline));
        let own_share = f64::from(share_of(team).max(1));
        let turns = (own + 1) as f64 / own_share;
        let others: f64 = level
            .teams
            .iter()
            .filter(|(name, state)| *name != team && state.queued > 0)
            .map(|(name, state)| {
                (state.queued as f64).min(turns * f64::from(share_of(name).max(1)))
            })
            .sum();
        above as f64 + own as f64 + others
    }

    /// Removes the teams that have no queued requests and are not ahead of the level's pass.
    pub(super) fn remove_idle_teams(&mut self) {
        for level in self.levels.values_mut() {
            let floor = level.pass;
            level.teams.retain(|_, team| team.queued > 0 || team.pass > floor);
        }
    }
}

fn count_before(team: &Team, deadline: time::Monotonic) -> usize {
    team.classes.values().map(|keys| keys.range(..=(deadline, u64::MAX)).count()).sum()
}

fn first_of_level(
    priority: document::Priority,
    level: &Level,
    blocked: &[usize],
) -> Option<QueuedRequest> {
    let teams = level.teams.iter().filter(|(_, team)| team.queued > 0);
    let ready =
        teams.filter_map(|(name, team)| Some((team.pass, name, first_of_team(team, blocked)?)));
    let (_, team, (key, class)) = ready.min_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)))?;
    let (deadline, request) = key;
    Some(QueuedRequest { request, class, priority, team: team.clone(), deadline })
}

fn first_of_team(team: &Team, blocked: &[usize]) -> Option<(Key, usize)> {
    let open = team.classes.iter().filter(|(class, _)| !blocked.contains(class));
    open.filter_map(|(class, keys)| Some((*keys.first()?, *class))).min()
}
