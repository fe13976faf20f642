import {
  DataCentreExchange,
  DisseminationController,
  TreeBroadcaster,
  VersionApplier,
} from '@carobseam/fleet.dissemination';
import {
  FleetAuthenticator,
  LinkClient,
  LinkServer,
} from '@carobseam/fleet.link';
import type {TreeNoticeBroadcaster} from '@carobseam/fleet.notices';
import {PeerActivity, VmListBroadcaster} from '@carobseam/fleet.readers';
import type {LastSeenVersions} from '@carobseam/fleet.recovery';
import type {Container, ResolutionContext} from 'inversify';
import {
  bindSingleton,
  commonDependencies,
  settingsOf,
} from './container_helpers.js';
import {createLinkHandlers} from './link_handlers.js';
import {tokens} from './tokens.js';

/** Binds the objects that communicate with other daemons. */
export function bindFleet(container: Container): void {
  bindLink(container);
  bindDissemination(container);
}

function bindLink(container: Container): void {
  bindSingleton(
    container,
    tokens.peerActivity,
    context => new PeerActivity(commonDependencies(context).clock),
  );
  bindSingleton(
    container,
    tokens.fleetAuthenticator,
    context =>
      new FleetAuthenticator({
        keys: settingsOf(context).fleetKeys,
        clock: commonDependencies(context).clock,
      }),
  );
  bindSingleton(container, tokens.linkClient, context => {
    const peerActivity = context.get<PeerActivity>(tokens.peerActivity);
    return new LinkClient({
      authenticator: context.get<FleetAuthenticator>(tokens.fleetAuthenticator),
      onReply: () => peerActivity.recordMessage(),
      ...commonDependencies(context),
    });
  });
  bindSingleton(container, tokens.linkServer, context => {
    const {vmId, fleet} = settingsOf(context);
    const dependencies = commonDependencies(context);
    return new LinkServer({
      address: fleet.address,
      port: fleet.port,
      handlers: createLinkHandlers({
        vmId,
        dissemination: disseminationOf(context),
        vmListBroadcaster: context.get<VmListBroadcaster>(
          tokens.vmListBroadcaster,
        ),
        peerActivity: context.get<PeerActivity>(tokens.peerActivity),
        notices: context.get<TreeNoticeBroadcaster>(tokens.noticeBroadcaster),
        lastSeenVersions: context.get<LastSeenVersions>(
          tokens.lastSeenVersions,
        ),
        blackboard: dependencies.blackboard,
      }),
      authenticator: context.get<FleetAuthenticator>(tokens.fleetAuthenticator),
      ...dependencies,
    });
  });
}

function bindDissemination(container: Container): void {
  bindSingleton(container, tokens.versionApplier, context => {
    const {minimumVersion} = settingsOf(context);
    return new VersionApplier({minimumVersion, ...commonDependencies(context)});
  });
  bindSingleton(container, tokens.dissemination, context => {
    const {vmId, dataCentre, dissemination} = settingsOf(context);
    return new DisseminationController({
      vmId,
      dataCentre,
      profile: dissemination.profile,
      applier: context.get<VersionApplier>(tokens.versionApplier),
      link: context.get<LinkClient>(tokens.linkClient),
      authenticator: context.get<FleetAuthenticator>(tokens.fleetAuthenticator),
      ...commonDependencies(context),
    });
  });
  bindSingleton(container, tokens.dataCentreExchange, context => {
    const dissemination = disseminationOf(context);
    const {vmId, dataCentre} = settingsOf(context);
    return new DataCentreExchange({
      vmId,
      dataCentre,
      exchangeVersions: peer => dissemination.exchangeVersions(peer),
      ...commonDependencies(context),
    });
  });
  bindSingleton(container, tokens.vmListBroadcaster, context => {
    const {vmId, dataCentre} = settingsOf(context);
    const parts = commonDependencies(context);
    return new VmListBroadcaster({
      vmId,
      tree: new TreeBroadcaster({
        vmId,
        dataCentre,
        blackboard: parts.blackboard,
      }),
      link: context.get<LinkClient>(tokens.linkClient),
      authenticator: context.get<FleetAuthenticator>(tokens.fleetAuthenticator),
      ...parts,
    });
  });
}

function disseminationOf(context: ResolutionContext): DisseminationController {
  return context.get<DisseminationController>(tokens.dissemination);
}
