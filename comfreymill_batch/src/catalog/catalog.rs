use std::collections::HashMap;

use comfreymill_types::document;
use comfreymill_types::id;

use super::{ClassEntry, ClassIndex, ClassSpec, TeamEntry, TeamIndex};

/// Teams, classes and weights of both stages.
#[derive(Debug, Default)]
pub(crate) struct Catalog {
    classes: Vec<ClassEntry>,
    class_by_name: HashMap<(document::Stage, id::ClassName), ClassIndex>,
    teams: Vec<TeamEntry>,
    team_by_name: HashMap<(document::Stage, id::TeamName), TeamIndex>,
    weights: HashMap<document::Stage, document::Weights>,
}

impl Catalog {
    /// Replaces the classes, teams and weights of `stage` by those of `environment`.
    pub(crate) fn apply(&mut self, stage: document::Stage, environment: &document::Environment) {
        self.weights.insert(stage, environment.weights);
        for class in self.classes.iter_mut().filter(|class| class.stage == stage) {
            class.spec = None;
        }
        for class in &environment.classes {
            let index = self.intern_class(stage, &class.name);
            self.classes[index.0 as usize].spec = ClassSpec::of(class);
        }
        for team in &environment.teams {
            let index = self.intern_team(stage, &team.name);
            let entry = &mut self.teams[index.0 as usize];
            entry.quota = team.quota;
            entry.share = team.share;
        }
    }

    /// Returns the index of a class and adds the class if it is unknown.
    pub(crate) fn intern_class(
        &mut self,
        stage: document::Stage,
        name: &id::ClassName,
    ) -> ClassIndex {
        if let Some(index) = self.class_by_name.get(&(stage, name.clone())) {
            return *index;
        }
        let index = ClassIndex(self.classes.len() as u32);
        self.classes.push(ClassEntry::new(stage, name.clone()));
        self.class_by_name.insert((stage, name.clone()), index);
        index
    }

    /// Returns the index of a team and adds the team if it is unknown.
    pub(crate) fn intern_team(&mut self, stage: document::Stage, name: &id::TeamName) -> TeamIndex {
        if let Some(index) = self.team_by_name.get(&(stage, name.clone())) {
            return *index;
        }
        let index = TeamIndex(self.teams.len() as u32);
        self.teams.push(TeamEntry::new());
        self.team_by_name.insert((stage, name.clone()), index);
        index
    }

    pub(crate) fn class(&self, index: ClassIndex) -> &ClassEntry {
        &self.classes[index.0 as usize]
    }

    pub(crate) fn class_mut(&mut self, index: ClassIndex) -> &mut ClassEntry {
        &mut self.classes[index.0 as usize]
    }

    pub(crate) fn team(&self, index: TeamIndex) -> &TeamEntry {
        &self.teams[index.0 as usize]
    }

    pub(crate) fn team_mut(&mut self, index: TeamIndex) -> &mut TeamEntry {
        &mut self.teams[index.0 as usize]
    }

    /// Resets the resources that teams use; a new leader adds them up again.
    pub(crate) fn clear_use(&mut self) {
        for team in &mut self.teams {
            team.used = comfreymill_types::size::Resources::ZERO;
        }
    }

    /// Returns the specification of a task class, if the document in force defines it.
    pub(crate) fn find_spec(
        &self,
        stage: document::Stage,
        name: &id::ClassName,
    ) -> Option<&ClassSpec> {
        let index = self.class_by_name.get(&(stage, name.clone()))?;
        self.class(*index).spec.as_ref()
    }

    /// Returns the quota of a team, if it has one.
    pub(crate) fn find_quota(
        &self,
        stage: document::Stage,
        name: &id::TeamName,
    ) -> Option<comfreymill_types::size::Resources> {
        let index = self.team_by_name.get(&(stage, name.clone()))?;
        self.team(*index).quota
    }

    /// Returns the customer's weights of latency, throughput and evictions in `stage`.
    pub(crate) fn weights(&self, stage: document::Stage) -> document::Weights {
        self.weights.get(&stage).copied().unwrap_or_default()
    }
}
