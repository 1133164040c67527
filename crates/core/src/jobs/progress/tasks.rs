//! The tasks of a step, which take no space of their own before one of them is first assigned.

use std::ops::{Deref, DerefMut};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::TaskProgress;
use crate::jobs::spec::MAX_TASKS;

/// What the tasks of all steps without a run look like.
static NOT_STARTED: [TaskProgress; MAX_TASKS] = [const { TaskProgress::new() }; MAX_TASKS];

/// The progress of the tasks of a step: a slice that takes constant space until it is first borrowed as mutable. Encoded as a
/// sequence of all tasks.
#[derive(Debug, Clone)]
pub struct Tasks(Repr);

#[derive(Debug, Clone)]
enum Repr {
    /// At most [`MAX_TASKS`] tasks that have never run.
    NotStarted(usize),
    Started(Vec<TaskProgress>),
}

impl Tasks {
    /// Tasks that have never run.
    pub fn new(count: usize) -> Self {
        if count <= MAX_TASKS {
            Self(Repr::NotStarted(count))
        } else {
            Self(Repr::Started(vec![TaskProgress::new(); count]))
        }
    }

    /// The tasks for modification if any may have run. Takes no further space, unlike a mutable borrow of all.
    pub fn started_mut(&mut self) -> &mut [TaskProgress] {
        match &mut self.0 {
            Repr::NotStarted(_) => &mut [],
            Repr::Started(tasks) => tasks,
        }
    }
}

impl From<Vec<TaskProgress>> for Tasks {
    /// Frees the space of tasks that have never run. Linear in their number.
    fn from(tasks: Vec<TaskProgress>) -> Self {
        if tasks.len() <= MAX_TASKS && tasks.iter().all(|task| *task == NOT_STARTED[0]) {
            Self(Repr::NotStarted(tasks.len()))
        } else {
            Self(Repr::Started(tasks))
        }
    }
}

impl Deref for Tasks {
    type Target = [TaskProgress];

    fn deref(&self) -> &[TaskProgress] {
        match &self.0 {
            Repr::NotStarted(count) => &NOT_STARTED[..*count],
            Repr::Started(tasks) => tasks,
        }
    }
}

impl DerefMut for Tasks {
    fn deref_mut(&mut self) -> &mut [TaskProgress] {
        if let Repr::NotStarted(count) = self.0 {
            self.0 = Repr::Started(vec![TaskProgress::new(); count]);
        }
        self.started_mut()
    }
}

impl<'t> IntoIterator for &'t Tasks {
    type Item = &'t TaskProgress;
    type IntoIter = std::slice::Iter<'t, TaskProgress>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl<'t> IntoIterator for &'t mut Tasks {
    type Item = &'t mut TaskProgress;
    type IntoIter = std::slice::IterMut<'t, TaskProgress>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter_mut()
    }
}

impl PartialEq for Tasks {
    fn eq(&self, other: &Self) -> bool {
        **self == **other
    }
}

impl Eq for Tasks {}

impl Serialize for Tasks {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (**self).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Tasks {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Vec::deserialize(deserializer).map(Self::from)
    }
}
