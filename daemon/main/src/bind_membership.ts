import {PauseDetector} from '@carobseam/core.clock';
import type {Clock} from '@carobseam/core.types';
import {DatagramAuthenticator, UdpTransport} from '@carobseam/fleet.datagram';
import type {DisseminationController} from '@carobseam/fleet.dissemination';
import type {LinkClient} from '@carobseam/fleet.link';
import {
  MembershipController,
  TcpProcessExitCheck,
} from '@carobseam/fleet.membership';
import {TreeNoticeBroadcaster} from '@carobseam/fleet.notices';
import type {PeerActivity} from '@carobseam/fleet.readers';
import {
  PeerSurvey,
  StartupController,
  LastSeenVersions,
} from '@carobseam/fleet.recovery';
import type {Container, ResolutionContext} from 'inversify';
import {
  bindSingleton,
  commonDependencies,
  settingsOf,
} from './container_helpers.js';
import {createSelfRecord} from './create_self_record.js';
import {tokens} from './tokens.js';

/** Binds datagrams, notices, membership and the startup sequence. */
export function bindMembership(container: Container): void {
  container
    .bind(tokens.lastSeenVersions)
    .toConstantValue(new LastSeenVersions());
  bindSingleton(
    container,
    tokens.pauseDetector,
    context => new PauseDetector({clock: context.get<Clock>(tokens.clock)}),
  );
  bindSingleton(container, tokens.datagramAuthenticator, context => {
    const {fleet, fleetKeys} = settingsOf(context);
    return new DatagramAuthenticator({
      keys: fleetKeys,
      audience: `${fleet.address}:${fleet.port}`,
      clock: context.get<Clock>(tokens.clock),
    });
  });
  bindSingleton(container, tokens.transport, context => {
    const {fleet, dataCentre} = settingsOf(context);
    return new UdpTransport({
      address: fleet.address,
      port: fleet.port,
      dataCentre,
      authenticator: context.get<DatagramAuthenticator>(
        tokens.datagramAuthenticator,
      ),
      ...commonDependencies(context),
    });
  });
  bindSingleton(container, tokens.noticeBroadcaster, context => {
    const {vmId, dataCentre} = settingsOf(context);
    return new TreeNoticeBroadcaster({
      vmId,
      dataCentre,
      link: context.get<LinkClient>(tokens.linkClient),
      ...commonDependencies(context),
    });
  });
  bindSingleton(container, tokens.membership, createMembershipController);
  bindSingleton(container, tokens.startupController, createStartupController);
}

function createMembershipController(
  context: ResolutionContext,
): MembershipController {
  const {blackboard} = commonDependencies(context);
  const lastSeenVersions = context.get<LastSeenVersions>(
    tokens.lastSeenVersions,
  );
  const peerActivity = context.get<PeerActivity>(tokens.peerActivity);
  const dissemination = context.get<DisseminationController>(
    tokens.dissemination,
  );
  return new MembershipController({
    self: createSelfRecord(
      settingsOf(context),
      context.get<Clock>(tokens.clock),
    ),
    transport: context.get<UdpTransport>(tokens.transport),
    notices: context.get<TreeNoticeBroadcaster>(tokens.noticeBroadcaster),
    pauseDetector: context.get<PauseDetector>(tokens.pauseDetector),
    processExitCheck: new TcpProcessExitCheck(),
    onVersionSeen: (vmId, version) => lastSeenVersions.record(vmId, version),
    onPeerMessage: (peer, manifestDigest) => {
      peerActivity.recordMessage();
      if (blackboard.read('versionFloor').settled) {
        const {configVersion} = peer;
        dissemination.handlePeerVersion(peer, configVersion, manifestDigest);
      }
    },
    ...commonDependencies(context),
  });
}

function createStartupController(
  context: ResolutionContext,
): StartupController {
  const {vmId, dataCentre, seedPeers} = settingsOf(context);
  const lastSeenVersions = context.get<LastSeenVersions>(
    tokens.lastSeenVersions,
  );
  const dissemination = context.get<DisseminationController>(
    tokens.dissemination,
  );
  const membership = context.get<MembershipController>(tokens.membership);
  const survey = new PeerSurvey({
    vmId,
    dataCentre,
    seedPeers: seedPeers.map(({address, port}) => ({address, fleetPort: port})),
    link: context.get<LinkClient>(tokens.linkClient),
    ...commonDependencies(context),
  });
  return new StartupController({
    survey,
    pullFrom: peer => dissemination.pullFrom(peer),
    onMembers: members => membership.mergeRecords(members),
    onHighestSeen: version => lastSeenVersions.recordHighest(version),
    ...commonDependencies(context),
  });
}
