use super::*;

fn shares() -> Shares {
    let partners = [("a", 50.0), ("b", 30.0), ("c", 20.0)];
    Shares {
        partners: partners
            .into_iter()
            .map(|(name, share)| (name.into(), share))
            .collect(),
        routine_floor: 0.1,
    }
}

/// Guards against shares that are not met, idle shares that are not lent, floods that take
/// slots that other partners want, and urgent work that takes the routine floor.
#[test]
fn divides_by_share() {
    // Slots wanted by urgent and routine work of a, b and c, and the slots they get of 100.
    let cases = [
        ([0, 900, 0, 900, 0, 900], [0, 50, 0, 30, 0, 20]),
        ([0, 900, 0, 0, 0, 900], [0, 71, 0, 0, 0, 29]),
        ([900, 900, 0, 30, 0, 20], [45, 5, 0, 30, 0, 20]),
        ([900, 900, 0, 10, 0, 10], [75, 5, 0, 10, 0, 10]),
        ([0, 20, 0, 900, 900, 0], [0, 20, 0, 30, 50, 0]),
        ([10, 10, 10, 10, 10, 10], [10, 10, 10, 10, 10, 10]),
        ([40, 20, 0, 0, 0, 0], [40, 20, 0, 0, 0, 0]),
    ];
    for (wants, expected) in cases {
        let classes = ["a", "b", "c"].into_iter().flat_map(|partner| {
            [Rank::Urgent, Rank::Routine].map(|rank| Class {
                partner: partner.into(),
                rank,
            })
        });
        let wants: BTreeMap<_, _> = classes.zip(wants).collect();
        let allotted = round_to_total(&shares().divide(100, &wants), 100);
        let allotted: Vec<_> = allotted.into_values().collect();
        assert_eq!(allotted, expected, "{wants:?}");
    }
}

/// Guards against an uneven or incomplete division among hosts.
#[test]
fn divides_evenly_in_whole_slots() {
    let cases: [(u32, &[u32], usize, &[u32]); 6] = [
        (10, &[9, 9, 2], 0, &[4, 4, 2]),
        (2, &[5, 5, 5, 5], 2, &[0, 0, 1, 1]),
        (2, &[5, 5, 5, 5], 3, &[1, 0, 0, 1]),
        (100, &[1, 2, 3], 1, &[1, 2, 3]),
        (7, &[0, 0, 50], 0, &[0, 0, 7]),
        (7, &[], 0, &[]),
    ];
    for (total, wants, first, expected) in cases {
        assert_eq!(
            divide_evenly(total, wants, first),
            expected,
            "{total} {wants:?}"
        );
    }
}

/// Guards against slots that are added or lost by rounding.
#[test]
fn scales_down_to_the_limit() {
    for limit in 0..=30 {
        let slots = BTreeMap::from([("a", 7), ("b", 0), ("c", 11), ("d", 2)]);
        let scaled = scale_down(slots.clone(), limit);
        assert_eq!(scaled.values().sum::<u32>(), limit.min(20));
        assert!(scaled.iter().all(|(name, count)| *count <= slots[name]));
    }
}
