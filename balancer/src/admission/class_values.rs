//! Class values: the contribution of each class to the optimization goal, and the stretch limit of less valuable
//! classes.

use super::{Admission, ClassRates, class_rates};
use crate::api::{ClassSettings, Settings};
use crate::class_statistics::ClassStatistics;
use crate::fleet::Fleet;
use crate::tuning::{MIN_ARRIVAL_RATE, MIN_DIVISOR, OBJECTIVE_FRACTION};

/// Upper bound of a class's stretch limit, as a fraction of the limit of the next more valuable class.
const LOWER_VALUE_STRETCH_FACTOR: f64 = 0.8;

/// Totals that the class values are computed from.
struct ValueScale {
    /// Weight of the worst-served class in the optimization goal, 0 to 1.
    worst_class_goal: f64,
    /// Sum over the classes of arrivals per second times priority weight.
    total_weight: f64,
    /// Fraction of the arrivals answered in time in the worst-served class.
    worst_served_fraction: f64,
    /// Whether a priority weight applies to a unit of work rather than to a request.
    is_weight_per_work: bool,
}

impl ValueScale {
    /// Computes the totals from the classes' current rates.
    fn new(settings: &Settings, rates: &[ClassRates]) -> Self {
        let weights = rates
            .iter()
            .zip(&settings.classes)
            .map(|(rate, class)| rate.arrivals * class.priority_weight);
        let served_fractions = rates.iter().map(|rate| rate.served_fraction());
        Self {
            worst_class_goal: settings.worst_class_goal.min(1.0),
            total_weight: weights.sum(),
            worst_served_fraction: served_fractions.fold(1.0, f64::min),
            is_weight_per_work: settings.is_weight_per_work,
        }
    }

    /// Contribution of a unit of a class's work to the optimization goal: the priority weight, plus a bonus for the
    /// worst-served class.
    fn value(&self, class: &ClassSettings, statistics: &ClassStatistics, rate: &ClassRates) -> f64 {
        let goal = self.worst_class_goal;
        let mut value = (1.0 - goal) * class.priority_weight / self.total_weight.max(MIN_DIVISOR);
        if rate.served_fraction() <= self.worst_served_fraction {
            value += goal / rate.arrivals.max(MIN_DIVISOR);
        }
        if self.is_weight_per_work {
            value
        } else {
            value / statistics.base_time().max(1.0)
        }
    }
}

impl Admission {
    /// Updates the value and the stretch limit of each class.
    pub(crate) fn update_class_values(&mut self, fleet: &Fleet) {
        let rates = class_rates(fleet);
        let scale = ValueScale::new(&fleet.settings, &rates);
        let classes = fleet.classes_with_settings().zip(&rates);
        for (admission, ((statistics, settings), rate)) in self.classes.iter_mut().zip(classes) {
            admission.value = scale.value(settings, statistics, rate);
        }
        self.update_max_stretches(fleet, &rates);
    }

    /// Lowers the stretch limit of less valuable classes. A class with a loose objective would otherwise fill the
    /// queues and leave no capacity to a more valuable class with a tight objective.
    fn update_max_stretches(&mut self, fleet: &Fleet, rates: &[ClassRates]) {
        let mut max_stretch = f64::INFINITY;
        for class in self.classes_by_value() {
            if rates[class.index()].arrivals <= MIN_ARRIVAL_RATE {
                continue;
            }
            let objective = fleet.settings.class(class).latency_objective as f64;
            let base_time = fleet.classes.get(class).base_time().max(1.0);
            let own_stretch = OBJECTIVE_FRACTION * objective / base_time;
            max_stretch = (max_stretch * LOWER_VALUE_STRETCH_FACTOR).min(own_stretch);
            self.classes[class.index()].max_stretch = max_stretch;
        }
    }
}
