import * as configurationDiff from './configuration/ConfigurationDiff.js';
import * as configurationHistory from './configuration/ConfigurationHistory.js';
import * as configurationPatch from './configuration/ConfigurationPatch.js';
import * as configurationShow from './configuration/ConfigurationShow.js';
import * as drainCancel from './drain/DrainCancel.js';
import * as drainPlan from './drain/DrainPlan.js';
import * as drainStatus from './drain/DrainStatus.js';
import * as explain from './Explain.js';
import * as keyCreate from './key/KeyCreate.js';
import * as keyWithdraw from './key/KeyWithdraw.js';
import * as operationsList from './operations/OperationsList.js';
import * as operationsSettle from './operations/OperationsSettle.js';
import * as organisationSet from './organisation/OrganisationSet.js';
import * as routeSet from './route/RouteSet.js';
import * as status from './Status.js';
import * as steer from './Steer.js';
import * as trace from './Trace.js';
import * as upstreamDrain from './upstream/UpstreamDrain.js';
import * as upstreamSet from './upstream/UpstreamSet.js';
import * as vmList from './vm/VmList.js';
import * as where from './Where.js';

/** The commands by oclif command ID, which separates topics with colons. */
export const COMMANDS = {
  'configuration:diff': configurationDiff.ConfigurationDiff,
  'configuration:history': configurationHistory.ConfigurationHistory,
  'configuration:patch': configurationPatch.ConfigurationPatch,
  'configuration:show': configurationShow.ConfigurationShow,
  'drain:cancel': drainCancel.DrainCancel,
  'drain:plan': drainPlan.DrainPlan,
  'drain:status': drainStatus.DrainStatus,
  explain: explain.Explain,
  'key:create': keyCreate.KeyCreate,
  'key:withdraw': keyWithdraw.KeyWithdraw,
  'operations:list': operationsList.OperationsList,
  'operations:settle': operationsSettle.OperationsSettle,
  'organisation:set': organisationSet.OrganisationSet,
  'route:set': routeSet.RouteSet,
  status: status.Status,
  steer: steer.Steer,
  trace: trace.Trace,
  'upstream:drain': upstreamDrain.UpstreamDrain,
  'upstream:set': upstreamSet.UpstreamSet,
  'vm:list': vmList.VmList,
  where: where.Where,
};
