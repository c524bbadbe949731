use super::*;
use crate::scenario;

#[test]
fn equal_seeds_draw_equal_plans_and_different_seeds_different_ones() {
    let plan = |seed| Plan::draw(scenario::find("night").expect("shipped"), seed).vary();
    let (one, same, other) = (plan(7), plan(7), plan(8));
    assert_eq!((&one.arrivals, &one.faults), (&same.arrivals, &same.faults));
    assert!(one.arrivals != other.arrivals && one.faults != other.faults);
    assert!(one.arrivals.len() > 100 && one.arrivals.is_sorted_by_key(|arrival| arrival.at));
}

#[test]
fn a_repro_file_restores_its_plan_and_is_rejected_if_a_target_does_not_exist() {
    let mut plan = Plan::draw(scenario::find("night").expect("shipped"), 3).vary();
    plan.arrivals.retain(|arrival| arrival.number % 7 == 0);
    plan.faults.truncate(3);
    let path = std::env::temp_dir().join(format!("badgerpost-plan-{}.json", std::process::id()));
    std::fs::write(&path, plan.to_repro().expect("a text")).expect("written");
    let read = Plan::from_repro(&path).expect("a plan");
    assert_eq!(
        (&read.arrivals, &read.faults, read.seed),
        (&plan.arrivals, &plan.faults, 3)
    );
    std::fs::write(
        &path,
        plan.to_repro()
            .expect("a text")
            .replace("\"whom\": ", "\"whom\": 99"),
    )
    .expect("written");
    assert!(
        Plan::from_repro(&path)
            .err()
            .expect("an invalid target")
            .to_string()
            .contains("the target of a fault is not in the scenario")
    );
    std::fs::remove_file(&path).expect("removed");
}
