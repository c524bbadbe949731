//! The retry budget: arrivals pay for retries, so that retries do not keep an overload going.

use crate::api::Settings;

/// Retries that each arrival earns.
const TOKENS_PER_ARRIVAL: f64 = 0.2;
/// Most retries that can be saved up, by all nodes that share a zone's backends together.
const MAX_TOKENS_PER_ZONE: f64 = 10.0;
/// Retries before the node starts.
const INITIAL_TOKENS: f64 = 1.0;

/// Retries that a node may make.
pub(crate) struct RetryBudget {
    tokens: f64,
    max_tokens: f64,
}

impl RetryBudget {
    /// A budget with a bound for this size of the fleet: many nodes together must not save up a retry storm.
    pub(crate) fn new(settings: &Settings) -> Self {
        let max_tokens = (MAX_TOKENS_PER_ZONE / settings.nodes_per_zone()).max(1.0);
        Self {
            tokens: INITIAL_TOKENS,
            max_tokens,
        }
    }

    /// Fills the budget, as the node starts.
    pub(crate) fn fill(&mut self) {
        self.tokens = self.max_tokens;
    }

    /// An arrival earns its part of a retry.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_ARRIVAL).min(self.max_tokens);
    }

    /// Whether a retry can be paid for.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Pays for a retry, as far as the budget goes.
    pub(crate) fn withdraw(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
