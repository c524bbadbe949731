use super::*;

const DESCRIPTORS: DescriptorLimits = DescriptorLimits {
    clients: 512,
    backends: 384,
};

fn planned_bytes(share: &ResourceShare) -> usize {
    PROCESS_BYTES
        + share.clients * CLIENT_CONNECTION_BYTES
        + share.backends * BACKEND_CONNECTION_BYTES
        + share.body_bytes
}

/// Guards against a process, or two of an upgrade, that may take more than the memory limit.
#[test]
fn shares_stay_within_the_memory() {
    for mib in [32, 48, 64, 96, 192, 2048] {
        let memory = mib * MIB;
        let single = ResourcePlan::new(DESCRIPTORS, memory, false);
        assert!(planned_bytes(&single.alone) <= memory, "{mib} MiB");
        let pair = ResourcePlan::new(DESCRIPTORS, memory, true);
        let both = planned_bytes(&pair.alone) + planned_bytes(&pair.beside_another);
        assert!(both <= memory, "{mib} MiB: {both}");
    }
}

/// Guards against refusing connections for memory that is not short.
#[test]
fn ample_memory_leaves_all_descriptors_to_connections() {
    let plan = ResourcePlan::new(DESCRIPTORS, 192 * MIB, true);
    assert_eq!((plan.alone.clients, plan.alone.backends), (512, 384));
    let shared = plan.beside_another;
    assert_eq!((shared.clients, shared.backends), (256, 192));
}

#[test]
fn little_memory_still_admits_connections() {
    let plan = ResourcePlan::new(DESCRIPTORS, MIB, true);
    assert_eq!(plan.beside_another.clients, MIN_CONNECTIONS);
    assert_eq!(plan.alone.body_bytes, MIN_BODY_BYTES);
}
