//! One instance of the balancer, with the translation between the simulator's names and the balancer's ids.

use badgerpost_balancer::{
    Action, AttemptResult, BackendId, Balancer, Endpoint, Event, Nanos, RequestArrival, RequestId,
    SettingsError,
};
use badgerpost_settings::{NameTable, ObjectError, name_hash};

use crate::name_ids::{BackendTable, RequestTable};
use crate::wire::InstanceId;
use crate::wire::endpoint_list::ListedEndpoint;
use crate::wire::events::{ArrivedRequest, EndedAttempt, EndedHealthCheck, InstanceEvent};
use crate::wire::input::InstanceStart;
use crate::wire::output::Reply;

/// Why an instance can't be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A field of the settings object is missing or of the wrong type.
    #[error(transparent)]
    Object(#[from] ObjectError),
    /// A setting is out of range or contradicts another one.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// A balancer, with the names behind its ids. Instances share no state.
pub struct Instance {
    id: InstanceId,
    balancer: Balancer,
    names: NameTable,
    backends: BackendTable,
    requests: RequestTable,
    /// Buffer for the actions of one event; empty between events.
    actions: Vec<Action>,
}

impl Instance {
    /// Creates an instance that has not yet handled [`Event::Start`]. `now` is in nanoseconds of simulated time.
    pub fn new(start: &InstanceStart, now: Nanos) -> Result<Self, StartError> {
        let parsed = badgerpost_settings::read(start.settings)?;
        Ok(Self {
            id: start.instance,
            balancer: Balancer::new(parsed.settings, start.seed, now)?,
            names: parsed.names,
            backends: BackendTable::default(),
            requests: RequestTable::default(),
            actions: Vec::new(),
        })
    }

    /// The names of zones, classes, tenants and machine kinds in the instance's settings.
    pub fn names(&self) -> &NameTable {
        &self.names
    }

    /// Passes an event to the balancer and appends the resulting actions to `replies`.
    pub fn handle(&mut self, now: Nanos, event: Event, replies: &mut Vec<Reply>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(now, event, &mut actions);
        replies.extend(actions.drain(..).map(|action| self.reply(&action)));
        self.actions = actions;
    }

    /// Translates and handles an event from the simulator. Events about requests that are not open are ignored.
    pub fn handle_wire_event(
        &mut self,
        now: Nanos,
        event: InstanceEvent,
        replies: &mut Vec<Reply>,
    ) {
        match event {
            InstanceEvent::EndpointsUpdated { update, endpoints } => {
                let endpoints = self.endpoints(endpoints);
                self.handle(now, Event::EndpointsUpdated { update, endpoints }, replies);
            }
            InstanceEvent::DiscoveryFailed => self.handle(now, Event::DiscoveryFailed, replies),
            InstanceEvent::RequestArrived(request) => {
                let arrival = self.request_arrival(&request);
                self.handle(now, Event::RequestArrived(arrival), replies);
            }
            InstanceEvent::AttemptEnded(attempt) => self.attempt_ended(now, &attempt, replies),
            InstanceEvent::ResponseStarted { request } => {
                if let Some(request) = self.requests.id(request) {
                    self.handle(now, Event::ResponseStarted { request }, replies);
                }
            }
            InstanceEvent::ClientDisconnected { request } => {
                self.client_disconnected(now, request, replies);
            }
            InstanceEvent::HealthCheckEnded(check) => {
                let check_ended = self.health_check_ended(&check);
                self.handle(now, check_ended, replies);
            }
            InstanceEvent::TimerFired { token } => {
                self.handle(now, Event::TimerFired { token }, replies);
            }
        }
    }

    fn endpoints(&mut self, listed: &[ListedEndpoint]) -> Vec<Endpoint> {
        listed.iter().map(|entry| self.endpoint(entry)).collect()
    }

    fn endpoint(&mut self, listed: &ListedEndpoint) -> Endpoint {
        Endpoint {
            backend: self.backends.get_or_insert(&listed.backend),
            zone: self.names.zone(&listed.zone),
            machine_kind: self.names.kind(&listed.machine_kind),
            cell: listed.cell,
            name_hash: name_hash(&listed.backend),
            state: listed.state,
            size: listed.size,
            started_at: listed.started_at,
        }
    }

    fn request_arrival(&mut self, request: &ArrivedRequest) -> RequestArrival {
        RequestArrival {
            request: self.requests.insert(request.name),
            class: request.class,
            affinity_key: request.affinity_key,
            expected_service_time: request.expected_service_time,
            is_retry: request.is_retry,
            tenant: request.tenant,
            expires_at: request.expires_at,
        }
    }

    fn health_check_ended(&mut self, check: &EndedHealthCheck) -> Event {
        Event::HealthCheckEnded {
            backend: self.backends.get_or_insert(check.backend),
            outcome: check.outcome,
            elapsed: check.elapsed,
            report: check.report,
        }
    }

    fn attempt_ended(&mut self, now: Nanos, attempt: &EndedAttempt, replies: &mut Vec<Reply>) {
        let Some(request) = self.requests.id(attempt.request) else {
            return;
        };
        let event = Event::AttemptEnded(AttemptResult {
            request,
            attempt: attempt.attempt,
            outcome: attempt.outcome,
            elapsed: Some(attempt.elapsed),
            request_ended: attempt.request_ended,
            report: attempt.report,
        });
        // The balancer handles the event first, because its actions may refer to the request by name.
        self.handle(now, event, replies);
        self.requests.attempt_ended(request, attempt.request_ended);
    }

    fn client_disconnected(&mut self, now: Nanos, request: &str, replies: &mut Vec<Reply>) {
        let Some(request) = self.requests.id(request) else {
            return;
        };
        // The balancer handles the event first, because its actions may refer to the request by name.
        self.handle(now, Event::ClientDisconnected { request }, replies);
        self.requests.end(request);
    }

    /// Translates an action of the balancer, and records attempts sent and requests ended.
    fn reply(&mut self, action: &Action) -> Reply {
        let instance = self.id;
        match *action {
            Action::Send {
                request,
                backend,
                timeout,
            } => self.send_reply(request, backend, timeout),
            Action::Reject {
                request,
                retry_after,
                ..
            } => Reply::Reject {
                retry_after,
                request: self.end_request(request),
                instance,
            },
            Action::Fail { request, .. } => Reply::Fail {
                request: self.end_request(request),
                instance,
            },
            Action::Cancel { request, attempt } => Reply::Cancel {
                request: self.requests.name(request),
                attempt,
                instance,
            },
            Action::CheckHealth { backend } => Reply::CheckHealth {
                backend: self.backends.name(backend).to_owned(),
                instance,
            },
            Action::WatchEndpoints => Reply::WatchEndpoints {
                is_active: true,
                instance,
            },
            Action::FetchSnapshot => Reply::FetchSnapshot { instance },
            Action::SetTimer { after, token } => Reply::SetTimer {
                after,
                token,
                instance,
            },
            Action::Log(event) => Reply::Log {
                text: event.to_string(),
                instance,
            },
        }
    }

    fn send_reply(
        &mut self,
        request: RequestId,
        backend: BackendId,
        timeout: Option<Nanos>,
    ) -> Reply {
        self.requests.attempt_sent(request);
        Reply::Send {
            backend: self.backends.name(backend).to_owned(),
            timeout: timeout.unwrap_or(0),
            request: self.requests.name(request),
            instance: self.id,
        }
    }

    /// Marks a request as ended and returns the request's name.
    fn end_request(&mut self, request: RequestId) -> String {
        let name = self.requests.name(request);
        self.requests.end(request);
        name
    }
}
