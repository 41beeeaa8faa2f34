package plumlever;

import plumlever.election.LeaderElection;
import plumlever.election.Term;
import plumlever.leader.context.TermContext;
import plumlever.settings.PlatformConfiguration;
import plumlever.settings.SchedulerParameters;

/** Creates the objects and settings that a leader uses during one term. */
record TermContextFactory(
    ControllerEnvironment environment,
    ServiceClients clients,
    LeaderElection election,
    LoopLateness lateness,
    PeerReports peers) {
  TermContext create(Term term) {
    PlatformConfiguration platform = environment.platform();
    SchedulerParameters parameters = environment.settings().parameters();
    return new TermContext(
        environment.loop(),
        platform,
        parameters,
        election,
        term,
        clients.store(),
        clients.recordLayout(),
        clients.cloud(),
        clients.typeCatalog(),
        clients.httpClient(),
        clients.metrics(),
        peers::workersAtOtherControllers,
        new ElectionLoopReader(
            environment.electionLoop(), clients.electionStore(), environment.loop()),
        lateness::micros,
        environment.loggerProvider(),
        platform.costMatters(parameters.provisioningMicros()),
        environment.settings().sharing(),
        peers.settledCommands());
  }
}
