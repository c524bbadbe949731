//! The balancer instances that the simulator runs, and the state they share: the time and the endpoint lists.

use std::collections::{BTreeMap, HashMap};

use badgerpost_balancer::{Event, Nanos};
use badgerpost_settings::ObjectError;

use crate::instance::Instance;
use crate::wire::endpoint_list::ListedEndpoint;
use crate::wire::events::UnparsedEvent;
use crate::wire::input::InstanceStart;
use crate::wire::output::Reply;
use crate::wire::{InstanceId, ListId};

/// All instances, the time of the current batch and the replies collected in it.
#[derive(Default)]
pub struct Host {
    now: Nanos,
    instances: BTreeMap<InstanceId, Instance>,
    /// The latest list under each id; the simulator reuses ids.
    endpoint_lists: HashMap<ListId, Vec<ListedEndpoint>>,
    replies: Vec<Reply>,
}

impl Host {
    /// Sets the time of the batch that starts, in nanoseconds of simulated time.
    pub fn start_batch(&mut self, now: Nanos) {
        self.now = now;
    }

    /// Stores an endpoint list for the events that refer to its id, and replaces an earlier list with the same id.
    pub fn store_endpoint_list(&mut self, list: ListId, endpoints: Vec<ListedEndpoint>) {
        self.endpoint_lists.insert(list, endpoints);
    }

    /// Starts an instance and replaces an earlier one with the same id. Invalid settings change no instance; they are
    /// reported to the simulator in a [`Reply::StartFailed`].
    pub fn start_instance(&mut self, start: &InstanceStart) {
        match Instance::new(start, self.now) {
            Ok(mut instance) => {
                instance.handle(self.now, Event::Start, &mut self.replies);
                self.instances.insert(start.instance, instance);
            }
            Err(error) => self.replies.push(Reply::StartFailed {
                problem: error.to_string(),
                instance: start.instance,
            }),
        }
    }

    /// Removes an instance with all of its state. An unknown id is ignored.
    pub fn stop_instance(&mut self, instance: InstanceId) {
        self.instances.remove(&instance);
    }

    /// Passes an event to its instance. Events for an instance that is not running are ignored without being parsed,
    /// because the simulator may send them after it has stopped the instance.
    ///
    /// # Errors
    ///
    /// A field of the event is missing or invalid, or refers to an unknown class or endpoint list.
    pub fn handle_event(
        &mut self,
        instance: InstanceId,
        event: &UnparsedEvent,
    ) -> Result<(), ObjectError> {
        let Some(instance) = self.instances.get_mut(&instance) else {
            return Ok(());
        };
        let event = event.parse(instance.names(), &self.endpoint_lists)?;
        instance.handle_wire_event(self.now, event, &mut self.replies);
        Ok(())
    }

    /// Removes and returns the replies collected since the last call, in order.
    pub fn take_replies(&mut self) -> Vec<Reply> {
        std::mem::take(&mut self.replies)
    }
}
