//! Admission state: the fractions of the arrivals that are admitted and that spill, and the classes' values.
//!
//! [`overload`] and [`class_values`] change it, [`objective`] says whether a request would be answered in
//! time.

mod class_values;
mod objective;
mod overload;

use crate::api::{ClassId, Nanos, Settings};
use crate::ewma::DecayingRate;
use crate::fleet::Fleet;

/// Decisions on one class.
#[derive(Clone, Copy)]
struct ClassAdmission {
    /// What a unit of its work (of service time) adds to the goal.
    value: f64,
    /// The largest stretch (slowness times load) that its requests are sent at.
    max_stretch: f64,
    /// Fraction of its arrivals that is admitted.
    admitted_fraction: f64,
}

/// Arrivals and answers of one class, per second.
#[derive(Clone, Copy)]
struct ClassRates {
    arrivals: f64,
    served: f64,
}

impl ClassRates {
    /// Fraction of the arrivals that was answered in time.
    fn served_fraction(self) -> f64 {
        if self.arrivals > 0.0 {
            self.served / self.arrivals
        } else {
            1.0
        }
    }
}

/// Fractions of the arrivals that are admitted and that spill, and the classes' values.
pub(crate) struct Admission {
    classes: Vec<ClassAdmission>,
    /// Requests of each tenant, per second.
    tenants: Vec<DecayingRate>,
    /// Fraction of the requests beyond their tenants' quotas that is admitted.
    over_quota_admitted_fraction: f64,
    /// Fraction of all arrivals that is admitted, by the shared figures.
    admitted_fraction: f64,
    /// Fraction of the arrivals that goes to another zone, in a large fleet.
    spill_fraction: f64,
}

impl Admission {
    /// Admits everything.
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

    /// Fraction of the arrivals that goes to another zone, in a large fleet.
    pub(crate) fn spill_fraction(&self) -> f64 {
        self.spill_fraction
    }

    /// Fraction of a class's arrivals that is admitted.
    pub(crate) fn admitted_fraction(&self, class: ClassId) -> f64 {
        self.classes[class.index()].admitted_fraction
    }

    /// What a unit of a class's work adds to the goal.
    pub(crate) fn value(&self, class: ClassId) -> f64 {
        self.classes[class.index()].value
    }

    /// Counts an arrival of a tenant.
    pub(crate) fn record_tenant_arrival(&mut self, now: Nanos, tenant: usize) {
        if let Some(rate) = self.tenants.get_mut(tenant) {
            rate.add(now, 1.0);
        }
    }

    /// Admits all requests of all classes again.
    pub(crate) fn reset_admitted_fractions(&mut self) {
        for class in &mut self.classes {
            class.admitted_fraction = 1.0;
        }
    }

    /// The classes, the most valuable for each unit of work first.
    fn classes_by_value(&self) -> Vec<ClassId> {
        let mut order: Vec<ClassId> = (0..).map(ClassId).take(self.classes.len()).collect();
        order.sort_by(|&a, &b| self.value(b).total_cmp(&self.value(a)));
        order
    }
}

/// Arrivals and answers of all classes, by id.
fn class_rates(fleet: &Fleet) -> Vec<ClassRates> {
    let rates = fleet.classes.iter().map(|class| ClassRates {
        arrivals: class.arrivals(fleet.now),
        served: class.served_in_time(fleet.now),
    });
    rates.collect()
}
