//! Starts of the nodes' processes, before a run and during it.

use std::net::SocketAddr;

use badgerpost_fakes::random::Random;
use badgerpost_fakes::system_faults::SystemFaults;

use super::{RunError, Runner};
use crate::process::{self, Process, StartOptions};
use crate::simulation::GOSSIP_KEY;

impl Runner {
    /// Starts a node's process and waits until the node listens.
    pub(super) fn start_node(&mut self, node: usize) -> Result<(), RunError> {
        let (process, listen_address) = Process::start(&self.start_options(node))?;
        self.processes[node] = Some(process);
        self.record_node_start(node, listen_address)?;
        if !self.options.real_time {
            self.step(node)?;
        }
        Ok(())
    }

    /// Starts a node's process during a run. In real time this does not wait until the node listens.
    pub(super) fn restart_node(&mut self, node: usize) -> Result<(), RunError> {
        if !self.options.real_time {
            return self.start_node(node);
        }
        let process = Process::start_in_background(&self.start_options(node))?;
        self.processes[node] = Some(process);
        self.starting.push(node);
        Ok(())
    }

    /// Completes the starts of processes that listen by now.
    pub(super) fn finish_starts(&mut self) -> Result<(), RunError> {
        for node in std::mem::take(&mut self.starting) {
            let listen_address = match &mut self.processes[node] {
                Some(process) => process.listen_address()?,
                // The process was killed before it listened.
                None => continue,
            };
            match listen_address {
                Some(listen_address) => self.record_node_start(node, listen_address)?,
                None => self.starting.push(node),
            }
        }
        Ok(())
    }

    /// Resets the state of a node whose new process listens.
    fn record_node_start(
        &mut self,
        node: usize,
        listen_address: SocketAddr,
    ) -> Result<(), RunError> {
        if self.simulation.has_gossip()
            && let Some(process) = &mut self.processes[node]
        {
            let gossip_address = process.wait_for_logged_address("peers may call")?;
            self.simulation.set_gossip_address(node, gossip_address);
        }
        (self.unread_bytes[node], self.missing_ends[node]) = (0, 0);
        (self.paused[node], self.stopping[node]) = (false, false);
        self.simulation.node_started(node, listen_address);
        Ok(())
    }

    /// The options for a node's next process.
    fn start_options(&mut self, node: usize) -> StartOptions<'_> {
        // Every process of a node has the same address.
        let listen_address = self.ports[node].address();
        self.started_processes += 1;
        let seed = Random::new(self.plan.seed ^ self.started_processes, "node").next_u64();
        let scenario = &self.plan.scenario;
        let endpoint_list = scenario
            .spec
            .discovery
            .is_preconfigured
            .then(|| self.simulation.endpoint_snapshot());
        let mut edge_config = process::edge_config(
            scenario,
            node,
            listen_address,
            self.simulation.discovery_address(node),
            seed,
            endpoint_list,
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

    /// The system-call faults of a node's next process, with a new seed.
    fn system_faults(&self, node: usize, seed: u64) -> Option<SystemFaults> {
        let faults = self.options.system_faults.get(node)?.clone();
        Some(
            faults
                .with_seed(seed)
                .with_wall_clock(self.wall_clocks.get(node)?),
        )
    }
}
