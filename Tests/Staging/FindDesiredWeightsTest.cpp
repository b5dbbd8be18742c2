#include "Staging/Queries/FindDesiredWeights.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Staging;

namespace {

Fleet::NodeSettings settingsOf(const std::string& service)
{
    Fleet::NodeSettings settings;
    settings.localService = service;
    return settings;
}

// A service "engines" with the weights of model "m", and an origin.
Fleet::FleetSnapshot makeSnapshot()
{
    Fleet::Service engines;
    engines.weights = Fleet::WeightLayout { 48, 16, { "m" } };
    Fleet::Service origin;
    origin.origin = Http::Endpoint { "10.0.0.1", 80 };
    auto configuration = std::make_shared<Fleet::Configuration>();
    configuration->services = { { "engines", engines }, { "origin", origin }, { "plain", {} } };
    Fleet::FleetSnapshot snapshot;
    snapshot.configuration = configuration;
    return snapshot;
}

} // namespace

// Guards against an agent that loads an earlier version because a model has several recent declarations, and against
// one that loads nothing before the first declaration.
Test(FindDesiredWeights, isTheLastDeclaredVersion)
{
    auto snapshot = makeSnapshot();
    auto desired = Queries::findDesiredWeights(snapshot, settingsOf("engines"));
    cr_assert(desired.has_value());
    cr_assert_eq(desired->model, "m");
    cr_assert_eq(desired->declared.version, 1);
    cr_assert_eq(desired->layers, 16);
    cr_assert_eq(desired->pieces, 48);
    cr_assert_eq(desired->origin.toString(), "10.0.0.1:80");
    snapshot.weights["m"] = { { 2, {} }, { 3, {} } };
    snapshot.weights["other"] = { { 9, {} } };
    cr_assert_eq(Queries::findDesiredWeights(snapshot, settingsOf("engines"))->declared.version, 3);
}

// Guards against an agent of a plain service, or one that has not received a configuration yet, that waits for weights.
Test(FindDesiredWeights, isEmptyWithoutAModel)
{
    auto snapshot = makeSnapshot();
    cr_assert_not(Queries::findDesiredWeights(snapshot, settingsOf("plain")).has_value());
    cr_assert_not(Queries::findDesiredWeights(snapshot, settingsOf("unknown")).has_value());
    cr_assert_not(Queries::findDesiredWeights({}, settingsOf("engines")).has_value());
}
