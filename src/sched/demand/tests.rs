use super::*;

/// Guards against counts that are never reported, as others are counted again before their turn.
#[test]
fn all_counts_are_taken_in_turn() {
    let classes: Vec<_> = (0..25).map(|rank| Class::new(rank, false, false)).collect();
    let mut tally = Tally::default();
    let mut taken = 0;
    for _ in 0..3 {
        for class in &classes {
            tally.add_arrivals(Arrivals {
                service: Service::of("s"),
                class: *class,
                team: Team::NONE,
                count: 1,
            });
        }
        let counts = tally.take();
        assert_eq!(counts.arrivals.len(), ENTRIES_MAX);
        taken |= counts.arrivals.iter().fold(0u32, |seen, entry| {
            let position = classes.iter().position(|class| *class == entry.class);
            seen | 1 << position.unwrap()
        });
    }
    assert_eq!(taken.count_ones() as usize, classes.len());
}
