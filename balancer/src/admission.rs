//! Admission state: the admitted and the spilled fraction of the arrivals, and the value of each request class.
//!
//! [`overload`] and [`class_values`] update this state; [`objective`] decides whether a backend would answer a
//! request in time.

mod class_values;
mod objective;
mod overload;

use crate::api::{ClassId, Nanos, Settings};
use crate::ewma::DecayingRate;
use crate::fleet::Fleet;

/// Admission state of one class.
#[derive(Clone, Copy)]
struct ClassAdmission {
    /// Contribution of a unit of the class's work (service time) to the optimization goal.
    value: f64,
    /// The largest stretch (slowness times load) at which a request of the class is sent.
    max_stretch: f64,
    /// Fraction of the class's arrivals that is admitted, 0 to 1.
    admitted_fraction: f64,
}

/// Arrivals and requests answered in time of one class, per second.
#[derive(Clone, Copy)]
struct ClassRates {
    arrivals: f64,
    served: f64,
}

impl ClassRates {
    /// Fraction of the arrivals that was answered in time; 1 without arrivals.
    fn served_fraction(self) -> f64 {
        if self.arrivals > 0.0 {
            self.served / self.arrivals
        } else {
            1.0
        }
    }
}

/// Admitted and spilled fractions of the arrivals, and the state of each class.
pub(crate) struct Admission {
    classes: Vec<ClassAdmission>,
    /// Arrival rate of each tenant, in the order of [`Settings::tenant_quotas`].
    tenants: Vec<DecayingRate>,
    /// Admitted fraction of the requests beyond their tenants' quotas.
    over_quota_admitted_fraction: f64,
    /// Admitted fraction of all arrivals, by the zones' mean queues.
    admitted_fraction: f64,
    /// Fraction of the arrivals sent to another zone; stays 0 in a small fleet.
    spill_fraction: f64,
}

impl Admission {
    /// Creates a state that admits all requests and spills none.
    pub(crate) fn new(settings: &Settings) -> Self {
        let open = ClassAdmission {
            value: 0.0,
            max_stretch: f64::INFINITY,
            admitted_fraction: 1.0,
        };
        Self {
            classes: vec![open; settings.classes.len()],
            tenants: vec![DecayingRate::default(); settings.tenant_quotas.len()],
            over_quota_admitted_fraction: 1.0,
            admitted_fraction: 1.0,
            spill_fraction: 0.0,
        }
    }

    /// Fraction of the arrivals sent to another zone; 0 in a small fleet.
    pub(crate) fn spill_fraction(&self) -> f64 {
        self.spill_fraction
    }

    pub(crate) fn admitted_fraction(&self, class: ClassId) -> f64 {
        self.classes[class.index()].admitted_fraction
    }

    /// Contribution of a unit of the class's work to the optimization goal.
    pub(crate) fn value(&self, class: ClassId) -> f64 {
        self.classes[class.index()].value
    }

    pub(crate) fn record_tenant_arrival(&mut self, now: Nanos, tenant: usize) {
        if let Some(rate) = self.tenants.get_mut(tenant) {
            rate.add(now, 1.0);
        }
    }

    /// Admits all requests of all classes until the next update.
    pub(crate) fn reset_admitted_fractions(&mut self) {
        for class in &mut self.classes {
            class.admitted_fraction = 1.0;
        }
    }

    /// The classes in descending order of value.
    fn classes_by_value(&self) -> Vec<ClassId> {
        let mut order: Vec<ClassId> = (0..).map(ClassId).take(self.classes.len()).collect();
        order.sort_by(|&a, &b| self.value(b).total_cmp(&self.value(a)));
        order
    }
}

/// Rates of all classes, by class id.
fn class_rates(fleet: &Fleet) -> Vec<ClassRates> {
    let rates = fleet.classes.iter().map(|class| ClassRates {
        arrivals: class.arrivals(fleet.now),
        served: class.served_in_time(fleet.now),
    });
    rates.collect()
}
