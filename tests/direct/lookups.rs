//! Lookups of routes and customers, and the shares of services.

use std::time::Duration;

use bitternwall::direct::known::configuration::{
    AnswerForm, Configuration, Customer, Parts, Repeatability, RequestLimits, Route, Share,
};

pub fn route(name: &str, prefix: &str, shares: &[(&str, u32)]) -> Route {
    Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        repeatability: Repeatability::Idempotent,
        form: AnswerForm::Document,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        pause_objective: None,
        priority: 1,
        max_targets: 2,
        public: false,
        shares: shares
            .iter()
            .map(|(service, weight)| Share { service: (*service).to_owned(), weight: *weight })
            .collect(),
    }
}

pub fn configuration(version: u64) -> Configuration {
    let customer = Customer {
        name: "rosetta".to_owned(),
        keys: vec!["k1".to_owned(), "k2".to_owned()],
        priority: None,
    };
    Configuration::new(Parts {
        version,
        limits: RequestLimits { body_bytes: 1_000 },
        routes: vec![
            route("short", "/a/", &[("one", 1)]),
            route("long", "/a/b/", &[("two", 90), ("three", 10)]),
        ],
        services: Vec::new(),
        customers: Some(vec![customer]),
    })
}

#[test]
fn the_longest_prefix_that_begins_the_path_wins() {
    let configuration = configuration(1);
    let name = |path: &str| configuration.route("A.Example", path).map(|route| route.name.as_str());
    assert_eq!(name("/a/x"), Some("short"));
    assert_eq!(name("/a/b/x"), Some("long"));
    assert_eq!(name("/a/bc"), Some("short"));
    assert_eq!(name("/a"), None);
    assert!(configuration.route("b.example", "/a/x").is_none());
}

#[test]
fn keys_name_their_customer_and_nothing_else_does() {
    let configuration = configuration(1);
    let holder = |key: &str| configuration.customer(key).map(|customer| customer.name.as_str());
    assert_eq!(holder("k2"), Some("rosetta"));
    assert_eq!(holder("k3"), None);
    assert_eq!(holder(""), None);
}

#[test]
fn services_take_requests_by_their_weights() {
    let split = route("r", "/", &[("two", 90), ("three", 10)]);
    let draws = 10_000_u32;
    let step = u32::MAX / draws;
    let count = (0..draws).filter(|draw| split.service(draw * step) == "three").count();
    assert!((950..=1_050).contains(&count), "{count} of {draws} instead of a tenth");
    assert_eq!(split.service(0), "two");
    assert_eq!(split.service(u32::MAX), "three");
}

#[test]
fn the_customers_priority_goes_before_that_of_the_route() {
    let customer = |name: &str, priority| Customer {
        name: name.to_owned(),
        keys: vec![name.to_owned()],
        priority,
    };
    let routes = [("short", 0), ("long", 2)].map(|(name, priority)| Route {
        priority,
        ..route(name, &format!("/{name}/"), &[("model", 1)])
    });
    let parts = |customers| Parts {
        version: 1,
        limits: RequestLimits { body_bytes: 1_000 },
        routes: routes.to_vec(),
        services: Vec::new(),
        customers: Some(customers),
    };
    let configuration =
        Configuration::new(parts(vec![customer("paid", Some(0)), customer("free", Some(1))]));
    assert!(configuration.is_ranked("model"));
    let urgency = |route: &Route, key: &str| {
        configuration.urgency("model", route, configuration.customer(key))
    };
    let order = [(0, "paid"), (1, "paid"), (0, "free"), (1, "free")];
    let order = order.map(|(index, key)| urgency(&routes[index], key));
    assert_eq!(order, [0, 1, 2, 3]);
    let equal = Parts { routes: vec![routes[0].clone()], ..parts(vec![customer("one", None)]) };
    assert!(!Configuration::new(equal).is_ranked("model"));
}
