//! Values of the classes: which work is worth most, and the delay that lesser classes are bound to.

use super::{Admission, ClassRates, class_rates};
use crate::fleet::Fleet;
use crate::tuning::MIN_DIVISOR;
use crate::tuning::{MIN_ARRIVAL_RATE, OBJECTIVE_FRACTION};

/// A class of lower value leaves this fraction of the delay allowed to the next one at least.
const PRECEDENCE: f64 = 0.8;

impl Admission {
    /// What a unit of each class's work adds to the goal: its weight, and more for the worst-served class.
    pub(crate) fn update_class_values(&mut self, fleet: &Fleet) {
        let settings = &fleet.settings;
        let goal = settings.worst_class_goal.min(1.0);
        let rates = class_rates(fleet);
        let total_weight: f64 = rates
            .iter()
            .zip(&settings.classes)
            .map(|(rate, class)| rate.arrivals * class.priority_weight)
            .sum();
        let worst = rates
            .iter()
            .map(|rate| rate.served_fraction())
            .fold(1.0, f64::min);
        for (((class, statistics), class_settings), rate) in self
            .classes
            .iter_mut()
            .zip(fleet.classes.iter())
            .zip(&settings.classes)
            .zip(&rates)
        {
            let mut value =
                (1.0 - goal) * class_settings.priority_weight / total_weight.max(MIN_DIVISOR);
            if rate.served_fraction() <= worst {
                value += goal / rate.arrivals.max(MIN_DIVISOR);
            }
            class.value = if settings.is_weight_per_work {
                value
            } else {
                value / statistics.base_time().max(1.0)
            };
        }
        self.update_max_stretches(fleet, &rates);
    }

    /// Bounds the delay of lesser classes with a wide objective, which would else leave no capacity to a
    /// valuable one with a tight objective.
    fn update_max_stretches(&mut self, fleet: &Fleet, rates: &[ClassRates]) {
        let mut max_stretch = f64::INFINITY;
        for class in self.by_value() {
            if rates[class.index()].arrivals <= MIN_ARRIVAL_RATE {
                continue;
            }
            let objective = fleet.settings.class(class).latency_objective as f64;
            let own_stretch =
                OBJECTIVE_FRACTION * objective / fleet.classes.get(class).base_time().max(1.0);
            max_stretch = (max_stretch * PRECEDENCE).min(own_stretch);
            self.classes[class.index()].max_stretch = max_stretch;
        }
    }
}
