//! Values of the classes: which requests are worth most, and the delay that less valuable classes are bound to.

use super::{Admission, ClassRates, class_rates};
use crate::api::{ClassSettings, Settings};
use crate::class_statistics::ClassStatistics;
use crate::fleet::Fleet;
use crate::tuning::{MIN_ARRIVAL_RATE, MIN_DIVISOR, OBJECTIVE_FRACTION};

/// A class of lower value leaves at least this fraction of the delay allowed to the next more valuable one.
const LOWER_VALUE_STRETCH_FACTOR: f64 = 0.8;

/// What the values of all classes are measured against.
struct ValueScale {
    /// Fraction of the goal that the worst-served class decides, 0 to 1.
    worst_class_goal: f64,
    /// Arrivals per second of all classes, each times its priority weight.
    total_weight: f64,
    /// Fraction of the arrivals answered in time in the worst-served class.
    worst_served_fraction: f64,
    /// Whether priority weights count for each unit of work.
    is_weight_per_work: bool,
}

impl ValueScale {
    /// The scale by the classes' current rates.
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

    /// What a unit of a class's work adds to the goal: its weight, and more for the worst-served class.
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
    /// Updates the value of each class and the delay that its requests are bound to.
    pub(crate) fn update_class_values(&mut self, fleet: &Fleet) {
        let rates = class_rates(fleet);
        let scale = ValueScale::new(&fleet.settings, &rates);
        let classes = fleet.classes_with_settings().zip(&rates);
        for (admission, ((statistics, settings), rate)) in self.classes.iter_mut().zip(classes) {
            admission.value = scale.value(settings, statistics, rate);
        }
        self.update_max_stretches(fleet, &rates);
    }

    /// Bounds the delay of less valuable classes with a wide objective, which would otherwise leave no capacity
    /// to a valuable one with a tight objective.
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
