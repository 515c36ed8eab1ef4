import type * as kernel from '../../kernel/index.js';
import type * as configurations from '../../model/configuration/index.js';
import * as errors from '../../model/errors/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as fleet from '../../model/fleet/index.js';
import type * as peers from '../../model/peers/index.js';
import * as configurationService from '../configuration/ConfigurationMessage.js';
import * as fleetService from '../fleet/FleetMessage.js';
import * as knowledgeService from '../knowledge/KnowledgeMessage.js';
import * as limitsService from '../limits/LimitsMessage.js';
import * as operationsService from '../operations/OperationsMessage.js';
import * as quarantineService from '../quarantine/QuarantineMessage.js';
import * as readersService from '../readers/ReadersMessage.js';
import * as sharesService from '../shares/SharesMessage.js';

/** Forwards another daemon's request to the service that handles it, and returns that service's answer. */
export async function answerPeerRequest(
  services: kernel.ServiceDirectory,
  request: peers.PeerRequest,
): Promise<peers.PeerAnswer> {
  switch (request.kind) {
    case 'heartbeat':
      return await answerHeartbeat(services, request.status);
    case 'borrowShares':
    case 'returnShares':
    case 'takeTokens':
    case 'previewTokens':
    case 'settleTokens':
      return await services
        .getOrThrow(limitsService.LIMITS)
        .ask(reply => ({kind: 'peerRequest', request, reply}));
    case 'askClaim':
      return await services
        .getOrThrow(operationsService.OPERATIONS)
        .ask(reply => ({kind: 'peerRequest', request, reply}));
    case 'exchangeSuspects': {
      const suspects = await services
        .getOrThrow(quarantineService.QUARANTINE)
        .ask<readonly peers.SuspectReport[]>(reply => ({
          kind: 'exchangeSuspects',
          suspects: request.suspects,
          reply,
        }));
      return {kind: 'suspects', suspects};
    }
    case 'getSharedState':
      return await getSharedState(services);
    case 'getKnowledge':
      return await getKnowledge(services);
    case 'announceRows': {
      const receipt = await services
        .getOrThrow(readersService.READERS)
        .ask<peers.RowsReceipt>(reply => ({
          kind: 'rowsAnnounced',
          announcement: request.announcement,
          reply,
        }));
      return {kind: 'rowsReceived', receipt};
    }
    case 'borrowRequests': {
      const {organisationId, wantedCount} = request;
      const lentCount = await services
        .getOrThrow(sharesService.SHARES)
        .ask<number>(reply => ({
          kind: 'lend',
          organisationId,
          wantedCount,
          reply,
        }));
      return {kind: 'lent', lentCount};
    }
    default:
      return errors.throwUnreachable(request);
  }
}

async function answerHeartbeat(
  services: kernel.ServiceDirectory,
  status: peers.PeerStatus,
): Promise<peers.PeerAnswer> {
  const ownStatus = await services
    .getOrThrow(fleetService.FLEET)
    .ask<peers.PeerStatus>(reply => ({kind: 'heartbeat', status, reply}));
  return {kind: 'status', status: ownStatus};
}

async function getSharedState(
  services: kernel.ServiceDirectory,
): Promise<peers.PeerAnswer> {
  const [configuration, fleetMap] = await Promise.all([
    services
      .getOrThrow(configurationService.CONFIGURATION)
      .ask<configurations.Configuration>(reply => ({
        kind: 'getCurrent',
        reply,
      })),
    services
      .getOrThrow(fleetService.FLEET)
      .ask<fleet.FleetMap | undefined>(reply => ({kind: 'getMap', reply})),
  ]);
  return {kind: 'sharedState', configuration, fleetMap};
}

async function getKnowledge(
  services: kernel.ServiceDirectory,
): Promise<peers.PeerAnswer> {
  const knowledge = await services.getOrThrow(knowledgeService.KNOWLEDGE).ask<{
    readonly operatorRows: entry.OperatorRows | undefined;
    readonly upstreamRows: entry.UpstreamRows | undefined;
  }>(reply => ({kind: 'getKnowledge', reply}));
  return {kind: 'knowledge', ...knowledge};
}
