//! The instances of the balancer that the simulator runs, and what they share: the time and the endpoint lists.

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
    /// The last list under each id; the simulator uses ids again.
    endpoint_lists: HashMap<ListId, Vec<ListedEndpoint>>,
    replies: Vec<Reply>,
}

impl Host {
    /// Sets the time, in nanoseconds of the simulation, for all that follows in this batch.
    pub fn start_batch(&mut self, now: Nanos) {
        self.now = now;
    }

    /// Stores an endpoint list for the events that refer to it, in place of an earlier one with this id.
    pub fn store_endpoint_list(&mut self, list: ListId, endpoints: Vec<ListedEndpoint>) {
        self.endpoint_lists.insert(list, endpoints);
    }

    /// Starts an instance, in place of an earlier one with this id. Settings that can't be used are reported to the
    /// simulator and start nothing.
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

    /// Drops an instance with all that it knows.
    pub fn stop_instance(&mut self, instance: InstanceId) {
        self.instances.remove(&instance);
    }

    /// Hands an event to its instance. Events for instances that do not run are ignored without being parsed: the
    /// simulator may send them after it has stopped one.
    ///
    /// # Errors
    ///
    /// The event has a field that can't be used, or refers to an unknown class or endpoint list.
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

    /// The replies collected since the last call, in order.
    pub fn take_replies(&mut self) -> Vec<Reply> {
        std::mem::take(&mut self.replies)
    }
}
