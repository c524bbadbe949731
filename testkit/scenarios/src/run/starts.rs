//! Starts of the nodes' processes, before a run and during it.

use std::net::SocketAddr;

use badgerpost_fakes::random::Random;
use badgerpost_fakes::system_faults::SystemFaults;

use super::{RunError, Runner};
use crate::process::{self, Process, StartOptions};
use crate::simulation::GOSSIP_KEY;

impl Runner {
    /// Starts a node's process, and waits until it listens.
    pub(super) fn start_node(&mut self, node: usize) -> Result<(), RunError> {
        let (process, listens) = Process::start(&self.start_options(node))?;
        self.processes[node] = Some(process);
        self.node_listens(node, listens)?;
        if !self.options.real_time {
            self.step(node)?;
        }
        Ok(())
    }

    /// Starts a node's process during a run.
    pub(super) fn restart_node(&mut self, node: usize) -> Result<(), RunError> {
        if !self.options.real_time {
            return self.start_node(node);
        }
        let process = Process::start_in_background(&self.start_options(node))?;
        self.processes[node] = Some(process);
        self.starting.push(node);
        Ok(())
    }

    /// Finds the processes that have come to listen.
    pub(super) fn finish_starts(&mut self) -> Result<(), RunError> {
        for node in std::mem::take(&mut self.starting) {
            let listens = match &mut self.processes[node] {
                Some(process) => process.listen_address()?,
                // It was killed meanwhile.
                None => continue,
            };
            match listens {
                Some(listens) => self.node_listens(node, listens)?,
                None => self.starting.push(node),
            }
        }
        Ok(())
    }

    /// A node's process listens.
    fn node_listens(&mut self, node: usize, listens: SocketAddr) -> Result<(), RunError> {
        if self.simulation.has_gossip()
            && let Some(process) = &mut self.processes[node]
        {
            let gossip = process.wait_for_logged_address("peers may call")?;
            self.simulation.set_gossip_address(node, gossip);
        }
        (self.unread_bytes[node], self.missing_ends[node]) = (0, 0);
        (self.paused[node], self.stopping[node]) = (false, false);
        self.simulation.node_started(node, listens);
        Ok(())
    }

    /// How a node's next process is started.
    fn start_options(&mut self, node: usize) -> StartOptions<'_> {
        // Under the same address each time.
        let listen = self.ports[node].address();
        self.incarnations += 1;
        let seed = Random::new(self.plan.seed ^ self.incarnations, "node").next_u64();
        let scenario = &self.plan.scenario;
        let known = scenario
            .spec
            .discovery
            .is_preconfigured
            .then(|| self.simulation.endpoint_snapshot());
        let mut edge_config = process::edge_config(
            scenario,
            node,
            listen,
            self.simulation.discovery_address(node),
            seed,
            known,
        );
        if self.plan.behaviour.polled_discovery {
            edge_config["settings"]["discovery"] = "on_request".into();
        }
        let now = self.simulation.base() + self.simulation.now();
        StartOptions {
            program: &self.options.program,
            name: scenario.spec.nodes[node].name.get_ref(),
            edge_config,
            virtual_clock_start: (!self.options.real_time).then_some(now),
            operator_settings: scenario.spec.operator_settings.clone()
                + &self.options.extra_settings
                + &self.simulation.gossip_settings(node),
            files: if self.simulation.has_gossip() {
                vec![(GOSSIP_KEY.0, GOSSIP_KEY.1.to_owned())]
            } else {
                Vec::new()
            },
            system_faults: self.system_faults(node, seed),
        }
    }

    /// The faults of a node's next process.
    fn system_faults(&self, node: usize, seed: u64) -> Option<SystemFaults> {
        let faults = self.options.system_faults.get(node)?.clone();
        Some(
            faults
                .with_seed(seed)
                .with_wall_clock(self.wall_clocks.get(node)?),
        )
    }
}
