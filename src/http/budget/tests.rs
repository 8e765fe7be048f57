use super::*;

const MB: usize = 1024 * 1024;

fn address(last: u8) -> IpAddr {
    IpAddr::from([127, 0, 0, last])
}

fn budget(bytes: usize, connections: usize) -> Budget {
    Budget::new(Limits { bytes, connections })
}

/// Opens `count` connections of a team whose bodies hold `bytes` each and have stopped at `now`.
fn crowd(
    budget: &Budget,
    team: &str,
    count: usize,
    bytes: usize,
    now: Instant,
) -> Vec<OpenConnection> {
    let open = |_| {
        let connection = budget.open(address(1), now).ok()?;
        budget.admit(connection.key, Some(&team.into()), now).ok()?;
        budget.set_wait(connection.key, Wait::Request, None);
        budget.set_wait(connection.key, Wait::Body, Some(now));
        budget.grow(connection.key, bytes, now).ok()?;
        Some(connection)
    };
    (0..count).filter_map(open).collect()
}

/// Guards against limits that do not follow from those of the process.
#[test]
fn limits_follow_from_the_process() {
    let none = Limits::of_process(None, None);
    assert_eq!(none.bytes, usize::MAX);
    assert_eq!(none.connections, usize::MAX);
    let small = Limits::of_process(Some(120), Some(400));
    assert_eq!(small.bytes, 40 * MB);
    assert_eq!(small.connections, 87);
    assert_eq!(Limits::of_process(None, Some(100)).connections, 1);
}

/// Guards against bodies that hold more than the budget, and against a team that cannot get its part
/// while another one holds the rest.
#[test]
fn a_crowd_leaves_room_for_another_team() {
    let (budget, now) = (budget(8 * MB, 1000), Instant::now());
    let crowd = crowd(&budget, "crowd", 100, MB, now);
    assert!(crowd.len() < 8, "{}", crowd.len());
    assert!(budget.usage().0 <= 6 * MB);
    let other = budget.open(address(2), now).unwrap();
    budget.admit(other.key, Some(&"other".into()), now).unwrap();
    for _ in 0..2 {
        budget.grow(other.key, MB, now).unwrap();
    }
    assert!(budget.usage().0 <= 8 * MB);
    // Once only the reserve is left, idle connections of the largest owner are closed.
    budget.grow(other.key, MB, now).unwrap();
    assert!(crowd.iter().any(|connection| connection.closing.is_set()));
}

/// Guards against a team that is locked out by its own bodies that stand still, and against bodies that
/// arrive and are closed for others of the same team.
#[test]
fn only_a_stalled_body_makes_room_in_its_team() {
    let (budget, now) = (budget(8 * MB, 1000), Instant::now());
    let crowd = crowd(&budget, "team", 100, MB, now);
    let newcomer = budget.open(address(1), now).unwrap();
    budget
        .admit(newcomer.key, Some(&"team".into()), now)
        .unwrap();
    assert_eq!(budget.grow(newcomer.key, MB, now), Err(Exhausted));
    let later = now + STALL_MIN;
    budget.set_wait(crowd[0].key, Wait::Body, Some(later));
    budget.grow(newcomer.key, MB, later).unwrap();
    assert!(!crowd[0].closing.is_set());
    let closed = crowd
        .iter()
        .filter(|connection| connection.closing.is_set());
    assert_eq!(closed.count(), 1);
    assert_eq!(budget.take_actions()[&(Bound::Memory, Action::Closed)], 1);
}

/// Guards against idle connections that take all descriptors, and against requests that are cut for a
/// new connection while they wait for an engine.
#[test]
fn the_longest_idle_connection_makes_room() {
    let (budget, now) = (budget(usize::MAX, 3), Instant::now());
    let at = |seconds| now + Duration::from_secs(seconds);
    let open: Vec<_> = (0..3)
        .map(|number| budget.open(address(1), at(number)).unwrap())
        .collect();
    budget.set_wait(open[0].key, Wait::Request, None);
    let newcomer = budget.open(address(1), at(9)).unwrap();
    let closing: Vec<_> = open.iter().map(|one| one.closing.is_set()).collect();
    assert_eq!(closing, [false, true, false]);
    budget.set_wait(open[2].key, Wait::Request, None);
    budget.set_wait(newcomer.key, Wait::Request, None);
    assert_eq!(budget.open(address(2), at(99)).err(), Some(Exhausted));
    drop((open, newcomer));
    assert_eq!(budget.usage(), (0, 0));
}

/// Guards against a team whose running requests use all connections.
#[test]
fn running_requests_leave_connections_for_another_team() {
    let (budget, now) = (budget(usize::MAX, 20), Instant::now());
    let admit = |team: &str| {
        let connection = budget.open(address(1), now).ok()?;
        budget.set_wait(connection.key, Wait::Request, None);
        budget.admit(connection.key, Some(&team.into()), now).ok()?;
        Some(connection)
    };
    let crowd: Vec<_> = (0..30).filter_map(|_| admit("crowd")).collect();
    assert_eq!(crowd.len(), 15);
    let others: Vec<_> = (0..30).filter_map(|_| admit("other")).collect();
    assert_eq!(others.len(), 5);
    assert!(!crowd.iter().any(|connection| connection.closing.is_set()));
}

/// Guards against an answer that is cut because its caller has not read for a moment, and against
/// connections that are closed for a body which never fits.
#[test]
fn an_answer_that_has_just_stalled_is_not_cut() {
    let (budget, now) = (budget(8 * MB, 1000), Instant::now());
    let crowd = crowd(&budget, "crowd", 100, MB, now);
    for connection in &crowd {
        budget.set_wait(connection.key, Wait::Body, None);
        budget.set_wait(connection.key, Wait::Answer, Some(now));
    }
    let is_cut = || crowd.iter().any(|connection| connection.closing.is_set());
    let other = budget.open(address(2), now).unwrap();
    assert_eq!(
        budget.grow(other.key, 9 * MB, now + STALL_MIN),
        Err(Exhausted)
    );
    assert!(!is_cut());
    budget.grow(other.key, 2 * MB, now).unwrap_err();
    assert!(!is_cut());
    budget.grow(other.key, 2 * MB, now + STALL_MIN).unwrap();
    assert!(is_cut());
}
