//! Weights of one backend in the pick, as load feedback sets them.

/// Weights of one backend in the pick, against its size.
pub(crate) struct FeedbackWeights {
    reported_queue: Option<f64>,
    learned_weight: f64,
    feedback_weight: f64,
}

impl Default for FeedbackWeights {
    fn default() -> Self {
        Self {
            reported_queue: None,
            learned_weight: 1.0,
            feedback_weight: 1.0,
        }
    }
}

impl FeedbackWeights {
    /// Requests held for each core, by the load-adjusted size in the latest list.
    pub(crate) fn reported_queue(&self) -> Option<f64> {
        self.reported_queue
    }

    /// Sets the queue that the latest list shows, if it shows any.
    pub(crate) fn set_reported_queue(&mut self, reported_queue: Option<f64>) {
        self.reported_queue = reported_queue;
    }

    /// Weight by lasting differences between the lists' queues and even ones.
    pub(crate) fn learned_weight(&self) -> f64 {
        self.learned_weight
    }

    /// Weight by the difference in the latest list alone.
    pub(crate) fn feedback_weight(&self) -> f64 {
        self.feedback_weight
    }

    /// Sets both weights.
    pub(crate) fn set_weights(&mut self, feedback_weight: f64, learned_weight: f64) {
        self.feedback_weight = feedback_weight;
        self.learned_weight = learned_weight;
    }
}
