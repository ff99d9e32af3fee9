//! Placement of models on runners.

use base::Name;
use policy::place::{LoadPlan, ModelNeed, Runner, plan_loads};
use test_case::test_case;

fn runner(server: &str, domain: &str, loaded: &[&str]) -> Runner {
    Runner {
        server: Name::from(server),
        failure_domain: Name::from(domain),
        capacity_per_s: 10.0,
        memory_bytes: 100,
        loaded: loaded.iter().map(|m| Name::from(*m)).collect(),
    }
}

fn model(model: &str, size_bytes: u64, demand_per_s: f64) -> ModelNeed {
    ModelNeed {
        model: Name::from(model),
        size_bytes,
        demand_per_s,
    }
}

fn load(server: &str, model: &str) -> LoadPlan {
    LoadPlan {
        server: Name::from(server),
        model: Name::from(model),
    }
}

#[test_case(&[("a", "vake", &[]), ("b", "didube", &[])], &[load("a", "m"), load("b", "m")]; "two failure domains")]
#[test_case(&[("a", "vake", &["m"]), ("b", "vake", &[]), ("c", "didube", &[])], &[load("c", "m")]; "other domain first")]
#[test_case(&[("a", "vake", &["m"]), ("b", "didube", &["m"])], &[]; "nothing to do")]
#[test_case(&[("a", "vake", &["big"])], &[]; "no memory left")]
fn model_is_loaded_where_it_is_missing(runners: &[(&str, &str, &[&str])], expected: &[LoadPlan]) {
    let runners: Vec<Runner> = runners.iter().map(|(s, d, l)| runner(s, d, l)).collect();
    let needs = [model("m", 60, 10.0), model("big", 50, 0.0)];
    let plans: Vec<LoadPlan> = plan_loads(&needs, &runners, 9)
        .into_iter()
        .filter(|p| &*p.model == "m")
        .collect();
    assert_eq!(plans, expected);
}

#[test]
fn planned_loads_use_up_memory() {
    let runners = [runner("a", "vake", &[]), runner("b", "didube", &[])];
    let needs = [model("m", 60, 10.0), model("n", 60, 10.0)];
    assert_eq!(
        plan_loads(&needs, &runners, 9),
        [load("a", "m"), load("b", "n")]
    );
}

#[test]
fn loads_are_bounded_and_the_worst_served_goes_first() {
    let runners = [runner("a", "vake", &["m"]), runner("b", "didube", &["m"])];
    let needs = [model("m", 10, 100.0), model("n", 10, 10.0)];
    assert_eq!(plan_loads(&needs, &runners, 1), [load("a", "n")]);
}
