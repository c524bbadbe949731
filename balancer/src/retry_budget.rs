//! The retry budget, a token bucket filled by arrivals: it limits retries to a fraction of the arrivals, so that
//! retries do not prolong an overload.

use crate::api::Settings;

/// Tokens added by each arrival; a retry takes one token.
const TOKENS_PER_ARRIVAL: f64 = 0.2;
/// Maximum tokens of all nodes that share a zone's backends together.
const MAX_TOKENS_PER_ZONE: f64 = 10.0;
/// Tokens before [`RetryBudget::fill`] is called.
const INITIAL_TOKENS: f64 = 1.0;

/// Token bucket of this node's retries.
pub(crate) struct RetryBudget {
    tokens: f64,
    max_tokens: f64,
}

impl RetryBudget {
    /// Creates a budget whose maximum shrinks with the number of nodes in a zone, so that the nodes together cannot
    /// save up a retry storm.
    pub(crate) fn new(settings: &Settings) -> Self {
        let max_tokens = (MAX_TOKENS_PER_ZONE / settings.nodes_per_zone()).max(1.0);
        Self {
            tokens: INITIAL_TOKENS,
            max_tokens,
        }
    }

    /// Fills the budget to the maximum; called when the node starts.
    pub(crate) fn fill(&mut self) {
        self.tokens = self.max_tokens;
    }

    /// Adds the tokens for one arrival.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_ARRIVAL).min(self.max_tokens);
    }

    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token for one retry, or what is left if less than one.
    pub(crate) fn withdraw(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }
}
