//! The generations at this server, by identity.

use domain::GenerationId;
use papaya::HashMap;
use tokio::sync::mpsc;

use crate::generation_task::TaskCommand;

/// Channels to the tasks that own the generations.
///
/// Look-ups on the path of a request take no lock.
#[derive(Default)]
pub struct GenerationRegistry {
    tasks: HashMap<GenerationId, mpsc::Sender<TaskCommand>>,
}

impl GenerationRegistry {
    /// Channel to a generation's task.
    pub fn get(&self, generation: GenerationId) -> Option<mpsc::Sender<TaskCommand>> {
        self.tasks.pin().get(&generation).cloned()
    }

    /// Enter a task unless the generation has one; returns the task to use.
    pub fn enter(
        &self,
        generation: GenerationId,
        task: &mpsc::Sender<TaskCommand>,
    ) -> Result<(), mpsc::Sender<TaskCommand>> {
        let tasks = self.tasks.pin();
        match tasks.try_insert(generation, task.clone()) {
            Ok(_) => Ok(()),
            Err(occupied) => Err(occupied.current.clone()),
        }
    }

    /// Remove a task that has ended.
    pub fn remove(&self, generation: GenerationId) {
        self.tasks.pin().remove(&generation);
    }

    /// Generations kept.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Identities of the generations kept.
    pub fn identities(&self) -> Vec<GenerationId> {
        self.tasks.pin().keys().copied().collect()
    }
}
