//! Weights of one backend in the weighted random choice, set by load feedback.

/// Factors on the weight of one backend in the weighted random choice; 1 without load feedback.
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
    /// Requests per core by the load-adjusted size in the latest endpoint list; `None` if the list shows no queue.
    pub(crate) fn reported_queue(&self) -> Option<f64> {
        self.reported_queue
    }

    /// Sets the queue shown by the latest endpoint list.
    pub(crate) fn set_reported_queue(&mut self, reported_queue: Option<f64>) {
        self.reported_queue = reported_queue;
    }

    /// Factor learned from lasting deviations of the backend's queue from the target.
    pub(crate) fn learned_weight(&self) -> f64 {
        self.learned_weight
    }

    /// Factor that corrects the deviation in the latest endpoint list.
    pub(crate) fn feedback_weight(&self) -> f64 {
        self.feedback_weight
    }

    pub(crate) fn set_weights(&mut self, feedback_weight: f64, learned_weight: f64) {
        self.feedback_weight = feedback_weight;
        self.learned_weight = learned_weight;
    }
}
