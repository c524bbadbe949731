//! Puts badgerpost-balancer on the simulator's wire: reads batches from standard input, writes replies to standard
//! output. It translates and decides nothing.

mod wire;

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use badgerpost_balancer::{
    Action, AttemptResult, BackendId, Balancer, ClassId, Endpoint, EndpointUpdate, Event, Nanos,
    RequestArrival, RequestId,
};
use badgerpost_settings::{NameTable, ObjectError, ObjectReader, name_hash};
use serde_json::{Value, json};
use wire::Line;

/// A request that the module may still name.
struct Held {
    name: String,
    out: u32,
    ended: bool,
}

/// One instance: the module and the words for its numbers. Nothing in it is shared.
struct Instance {
    node: Balancer,
    words: NameTable,
    backends: HashMap<String, BackendId>,
    backend_names: Vec<String>,
    requests: HashMap<String, RequestId>,
    held: BTreeMap<RequestId, Held>,
    next_request: u64,
}

impl Instance {
    fn backend(&mut self, name: &str) -> BackendId {
        if let Some(&id) = self.backends.get(name) {
            return id;
        }
        let id = BackendId(self.backend_names.len() as u32);
        self.backend_names.push(name.to_owned());
        self.backends.insert(name.to_owned(), id);
        id
    }

    fn members(&mut self, list: &[wire::Entry]) -> Vec<Endpoint> {
        list.iter()
            .map(|entry| Endpoint {
                backend: self.backend(&entry.backend),
                zone: self.words.zone(&entry.zone),
                machine_kind: self.words.kind(&entry.kind),
                cell: entry.cell,
                name_hash: name_hash(&entry.backend),
                state: entry.stage,
                size: entry.size,
                started_at: entry.online_since,
            })
            .collect()
    }

    fn request(&mut self, name: &str) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.requests.insert(name.to_owned(), id);
        self.held.insert(
            id,
            Held {
                name: name.to_owned(),
                out: 0,
                ended: false,
            },
        );
        id
    }

    fn update(&mut self, id: RequestId, change: impl FnOnce(&mut Held)) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        change(held);
        if held.ended && held.out == 0 {
            self.requests.remove(&held.name);
            self.held.remove(&id);
        }
    }
}

#[derive(Default)]
struct Link {
    instances: BTreeMap<i64, Instance>,
    manifests: HashMap<i64, Vec<wire::Entry>>,
    now: Nanos,
    reply: String,
    actions: Vec<Action>,
    warned: bool,
}

impl Link {
    fn write(&mut self, tag: &str, body: Value) {
        self.reply.push_str(&json!({ tag: body }).to_string());
        self.reply.push('\n');
    }

    fn handle(&mut self, who: i64, event: Event) {
        let Some(instance) = self.instances.get_mut(&who) else {
            return;
        };
        let mut actions = std::mem::take(&mut self.actions);
        instance.node.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(who, action);
        }
        self.actions = actions;
    }

    fn act(&mut self, who: i64, action: Action) {
        let Some(instance) = self.instances.get_mut(&who) else {
            return;
        };
        let name = |instance: &Instance, id| {
            instance
                .held
                .get(&id)
                .map_or(String::new(), |held| held.name.clone())
        };
        let backend =
            |instance: &Instance, id: BackendId| instance.backend_names[id.0 as usize].clone();
        let (tag, body) = match action {
            Action::Send {
                request,
                backend: to,
                timeout,
            } => {
                instance.update(request, |held| held.out += 1);
                let body = json!({"who": who, "request-id": name(instance, request),
                    "backend": backend(instance, to), "max-wait-ns": timeout.unwrap_or(0)});
                ("PLACE", body)
            }
            Action::Reject {
                request,
                retry_after: pause,
            } => {
                let body =
                    json!({"who": who, "request-id": name(instance, request), "pause-ns": pause});
                instance.update(request, |held| held.ended = true);
                ("DECLINE", body)
            }
            Action::Fail { request } => {
                let body = json!({"who": who, "request-id": name(instance, request)});
                instance.update(request, |held| held.ended = true);
                ("END_FAILED", body)
            }
            Action::Cancel { request, attempt } => (
                "RECALL",
                json!({"who": who, "request-id": name(instance, request), "try": attempt}),
            ),
            Action::CheckHealth { backend: to } => (
                "TEST",
                json!({"who": who, "backend": backend(instance, to)}),
            ),
            Action::WatchEndpoints => ("SUBSCRIBE", json!({"who": who, "on": true})),
            Action::FetchSnapshot => ("QUERY_ALL", json!({"who": who})),
            Action::SetTimer { after, token } => (
                "DEFER",
                json!({"who": who, "from-now-ns": after, "name": token}),
            ),
            Action::Log(notice) => (
                "REMARK",
                json!({"who": who, "note-text": notice.to_string()}),
            ),
        };
        self.write(tag, body);
    }

    /// Takes one line in. True when the batch is complete.
    fn take(&mut self, line: &Line) -> Result<bool, ObjectError> {
        let fields = &line.fields;
        let tag = fields.name();
        match tag {
            "BATCH" => self.now = fields.unsigned_integer("sim-time-ns")?,
            "GO" => return Ok(true),
            "MANIFEST" => {
                self.manifests
                    .insert(fields.signed_integer("list")?, wire::entries(fields)?);
            }
            "OPEN_INSTANCE" => self.open(fields)?,
            "EXIT" => {
                self.instances.remove(&fields.signed_integer("who")?);
            }
            "FLEET" | "INCOMING" | "SETTLED" | "ACK_FIRST" | "LEFT" | "STATUS_BACK" | "WAKEUP" => {
                self.event(tag, fields)?;
            }
            "NEIGHBOUR_SAYS" => {}
            unknown => {
                if !std::mem::replace(&mut self.warned, true) {
                    eprintln!("line {}: skipped an unknown event {unknown}", line.number);
                }
            }
        }
        Ok(false)
    }

    fn open(&mut self, fields: &ObjectReader) -> Result<(), ObjectError> {
        let who = fields.signed_integer("who")?;
        let seed = fields.unsigned_integer("nonce64")?;
        let made = badgerpost_settings::read(fields.required("config")?)
            .map_err(|e| e.to_string())
            .and_then(|site| {
                let node =
                    Balancer::new(site.settings, seed, self.now).map_err(|e| e.to_string())?;
                Ok((node, site.names))
            });
        match made {
            Ok((node, words)) => {
                let instance = Instance {
                    node,
                    words,
                    backends: HashMap::new(),
                    backend_names: Vec::new(),
                    requests: HashMap::new(),
                    held: BTreeMap::new(),
                    next_request: 0,
                };
                self.instances.insert(who, instance);
                self.handle(who, Event::Start);
            }
            Err(problem) => self.write("DIE", json!({"who": who, "note-text": problem})),
        }
        Ok(())
    }

    fn event(&mut self, tag: &str, fields: &ObjectReader) -> Result<(), ObjectError> {
        let who = fields.signed_integer("who")?;
        let Some(instance) = self.instances.get_mut(&who) else {
            return Ok(());
        };
        let event = match tag {
            "FLEET" => {
                let scope = match fields.string("mode")? {
                    "delta" => Some(EndpointUpdate::Delta),
                    "full" => Some(EndpointUpdate::Snapshot),
                    "cached" => Some(EndpointUpdate::Cached),
                    "failed" => None,
                    _ => return Err(fields.invalid("mode")),
                };
                match scope {
                    None => Event::DiscoveryFailed,
                    Some(scope) => {
                        let list = fields.signed_integer("list")?;
                        let entries = self
                            .manifests
                            .get(&list)
                            .ok_or_else(|| fields.invalid("list"))?;
                        Event::EndpointsUpdated {
                            update: scope,
                            endpoints: instance.members(entries),
                        }
                    }
                }
            }
            "INCOMING" => {
                let class = instance
                    .words
                    .class(fields.string("band")?)
                    .ok_or_else(|| fields.invalid("band"))?;
                let options = fields.unsigned_integer_or("options", 0)?;
                let hint = fields.unsigned_integer_or("weight-hint-ns", 0)?;
                let not_after = fields.unsigned_integer("not-after-ns")?;
                let name = fields.string("request-id")?;
                Event::RequestArrived(RequestArrival {
                    request: instance.request(name),
                    class: ClassId(class),
                    affinity_key: fields.lenient_string("key").map(name_hash),
                    expected_work: (options & 1 != 0).then_some(hint),
                    is_retry: options & 2 != 0,
                    tenant: instance.words.tenant(fields.lenient_string("org")),
                    expires_at: not_after,
                })
            }
            "SETTLED" => {
                let ended = fields.boolean("no-more")?;
                let settlement = (
                    wire::outcome(fields)?,
                    fields.unsigned_integer("elapsed-ns")?,
                    wire::report(fields)?,
                );
                let attempt = fields.unsigned_integer("try")? as u32;
                let Some(&request) = instance.requests.get(fields.string("request-id")?) else {
                    return Ok(());
                };
                let (outcome, elapsed, report) = settlement;
                let event = Event::AttemptEnded(AttemptResult {
                    request,
                    attempt,
                    outcome,
                    elapsed,
                    request_ended: ended,
                    report,
                });
                // The module answers first: until it has, it may still name this request.
                self.handle(who, event);
                if let Some(instance) = self.instances.get_mut(&who) {
                    instance.update(request, |held| {
                        held.out = held.out.saturating_sub(1);
                        held.ended |= ended;
                    });
                }
                return Ok(());
            }
            "ACK_FIRST" | "LEFT" => {
                let Some(&request) = instance.requests.get(fields.string("request-id")?) else {
                    return Ok(());
                };
                if tag == "ACK_FIRST" {
                    Event::ResponseStarted { request }
                } else {
                    self.handle(who, Event::ClientDisconnected { request });
                    if let Some(instance) = self.instances.get_mut(&who) {
                        instance.update(request, |held| held.ended = true);
                    }
                    return Ok(());
                }
            }
            "STATUS_BACK" => {
                let backend = instance.backend(fields.string("backend")?);
                let elapsed = fields.unsigned_integer("elapsed-ns")?;
                Event::HealthCheckEnded {
                    backend,
                    outcome: wire::outcome(fields)?,
                    elapsed,
                    report: wire::report(fields)?,
                }
            }
            _ => Event::TimerFired {
                token: fields.unsigned_integer("name")?,
            },
        };
        self.handle(who, event);
        Ok(())
    }
}

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut link = Link::default();
    let mut buffer = String::new();
    let mut number = 0u64;
    loop {
        buffer.clear();
        let read = input
            .read_line(&mut buffer)
            .map_err(|e| format!("standard input: {e}"))?;
        if read == 0 {
            return Ok(());
        }
        number += 1;
        if buffer.trim().is_empty() {
            continue;
        }
        let value: Value =
            serde_json::from_str(&buffer).map_err(|e| format!("line {number}: {e}"))?;
        let line = Line::new(number, &value)?;
        if link
            .take(&line)
            .map_err(|e| format!("line {number}: {e}"))?
        {
            link.reply.push_str("{\"YIELD\":{}}\n");
            let sent = output
                .write_all(link.reply.as_bytes())
                .and_then(|()| output.flush());
            sent.map_err(|e| format!("standard output: {e}"))?;
            link.reply.clear();
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("badgerpost-wirehost: {problem}");
            ExitCode::FAILURE
        }
    }
}
