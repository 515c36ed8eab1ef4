import type * as nodeHttp from 'node:http';
import * as h3 from 'h3';
import * as jsonRpc from 'json-rpc-2.0';
import * as codecs from '../../codecs/index.js';
import type * as decisions from '../../decisions/index.js';
import * as kernel from '../../kernel/index.js';
import type * as configurations from '../../model/configuration/index.js';
import * as errors from '../../model/errors/index.js';
import type * as operators from '../../model/operators/index.js';
import * as callersService from '../callers/CallersMessage.js';
import type * as previews from '../callers/RequestPreview.js';
import * as configurationService from '../configuration/ConfigurationMessage.js';
import * as fleetService from '../fleet/FleetMessage.js';
import * as http from '../http/index.js';
import * as operationsService from '../operations/OperationsMessage.js';

const HTTP_UNAUTHORIZED = 401;
const BEARER_PREFIX = /^Bearer /;

const METHODS: readonly operators.OperatorRequest['kind'][] = [
  'showConfiguration',
  'patch',
  'history',
  'listVms',
  'listOperations',
  'settleOperation',
  'showStatus',
  'steer',
  'explain',
  'preview',
];

/** The operators service. It accepts no messages; its JSON-RPC methods are called over its HTTP listener. */
export const OPERATORS = kernel.createServiceName<never>('operators');

/** How long a stop waits for commands in progress. */
const CLOSE_TIMEOUT_MS = 1000;

/** The authenticated operator that a JSON-RPC method is called by. */
interface OperatorIdentity {
  readonly operatorId: string;
}

/** Owns the operators' listener, authenticates operators and runs their commands. */
export class OperatorsTask extends kernel.Task<never> {
  private readonly operators: readonly codecs.OperatorSettings[];
  private readonly listener: http.HttpListener;
  private readonly rpcServer = new jsonRpc.JSONRPCServer<OperatorIdentity>({
    errorListener: () => {},
  });

  /**
   * @param address The address of the operators' listener.
   * @param operatorSettings The operators that have access, with the digests of their tokens.
   * @param memory Bounds what the listeners of the process hold.
   */
  constructor(
    address: codecs.ListenAddress,
    operatorSettings: readonly codecs.OperatorSettings[],
    memory?: http.AnswerMemory,
  ) {
    super();
    this.operators = operatorSettings;
    for (const method of METHODS)
      this.rpcServer.addMethod(method, (params, operator) =>
        this.runMethod({...params, kind: method}, operator.operatorId),
      );
    this.rpcServer.mapErrorToJSONRPCErrorResponse = (id, thrown) => {
      const error = errors.toError(thrown);
      const {rpcCode} = errors.ERROR_ANSWERS[error.kind];
      const {kind, fieldPath} = error;
      const data = {kind, fieldPath};
      return jsonRpc.createJSONRPCErrorResponse(
        id,
        rpcCode,
        error.message,
        data,
      );
    };
    const app = new h3.H3();
    app.post('/rpc', event => this.handleHttpRequest(event));
    this.listener = new http.HttpListener(
      address,
      h3.toNodeHandler(app),
      memory,
    );
  }

  /** Gets the listener's address as host:port. */
  getListenerAddress(): string {
    return this.listener.getAddress();
  }

  protected override async onStart(): Promise<void> {
    await this.listener.open();
  }

  protected override async onStop(): Promise<void> {
    await this.listener.closeWithin(CLOSE_TIMEOUT_MS);
  }

  protected override receive(message: never): void {
    errors.throwUnreachable(message);
  }

  private async handleHttpRequest(event: h3.H3Event): Promise<unknown> {
    const authorizationHeader = event.req.headers.get('authorization') ?? '';
    const digest = codecs.getTextDigestHex(
      authorizationHeader.replace(BEARER_PREFIX, ''),
    );
    const operator = this.operators.find(entry =>
      codecs.equalsSecret(digest, entry.tokenSha256Hex),
    );
    if (operator === undefined) {
      event.res.status = HTTP_UNAUTHORIZED;
      return {error: 'unauthenticated'};
    }
    const {operatorId} = operator;
    const node = event.runtime?.node;
    if (node?.res === undefined) throw new Error('not a request of node:http');
    const answer = await http.answerRpcRequest(
      node.req as nodeHttp.IncomingMessage,
      node.res as nodeHttp.ServerResponse,
      async body => await this.rpcServer.receiveJSON(body, {operatorId}),
    );
    switch (answer.kind) {
      case 'answered':
        return answer.response;
      case 'failed':
        event.res.status = answer.httpStatus;
        return '';
      default:
        errors.throwUnreachable(answer);
    }
  }

  private async runMethod(
    params: object,
    operatorId: string,
  ): Promise<unknown> {
    const request = codecs.parseOrThrow(
      codecs.operatorRequestSchema,
      params,
      'invalidRequest',
    );
    switch (request.kind) {
      case 'showConfiguration':
        return await this.getConfiguration();
      case 'patch':
        return await this.patch(request, operatorId);
      case 'history':
        return await this.getHistory(request);
      case 'listVms':
        return await this.getVms();
      case 'listOperations':
        return await this.getOperations(request.limit);
      case 'settleOperation':
        return await this.settle(request, operatorId);
      case 'showStatus':
        return await this.getStatus();
      case 'steer':
        return await this.steer(request);
      case 'explain':
        return await this.explain(request.organisationId);
      case 'preview':
        return await this.preview(request);
      default:
        return errors.throwUnreachable(request);
    }
  }

  private async getConfiguration(): Promise<configurations.Configuration> {
    return await this.getContext()
      .services.getOrThrow(configurationService.CONFIGURATION)
      .ask(reply => ({kind: 'getCurrent', reply}));
  }

  private async patch(
    request: Extract<operators.OperatorRequest, {kind: 'patch'}>,
    operatorId: string,
  ): Promise<unknown> {
    const {baseVersion, patch, changeId, isDryRun} = request;
    const result = await this.getContext()
      .services.getOrThrow(configurationService.CONFIGURATION)
      .ask<configurationService.PatchResult>(reply => ({
        kind: 'patch',
        command: {baseVersion, patch, changeId, isDryRun, operatorId},
        reply,
      }));
    return getOrThrow(result);
  }

  private async getHistory(
    request: Extract<operators.OperatorRequest, {kind: 'history'}>,
  ): Promise<unknown> {
    const {afterVersion, limit} = request;
    const result = await this.getContext()
      .services.getOrThrow(configurationService.CONFIGURATION)
      .ask<configurationService.HistoryResult>(reply => ({
        kind: 'history',
        afterVersion,
        limit,
        reply,
      }));
    return getOrThrow(result);
  }

  private async getVms(): Promise<readonly fleetService.VmStatus[]> {
    return await this.getContext()
      .services.getOrThrow(fleetService.FLEET)
      .ask(reply => ({kind: 'listVms', reply}));
  }

  private async getOperations(limit: number): Promise<unknown> {
    const result = await this.getContext()
      .services.getOrThrow(operationsService.OPERATIONS)
      .ask<operationsService.OperationsResult>(reply => ({
        kind: 'list',
        limit,
        reply,
      }));
    return getOrThrow(result);
  }

  private async settle(
    request: Extract<operators.OperatorRequest, {kind: 'settleOperation'}>,
    operatorId: string,
  ): Promise<unknown> {
    const {organisationId, keyDigestHex, hasRun} = request;
    const result = await this.getContext()
      .services.getOrThrow(operationsService.OPERATIONS)
      .ask<operationsService.SettleResult>(reply => ({
        kind: 'settle',
        organisationId,
        keyDigestHex,
        hasRun,
        operatorId,
        reply,
      }));
    return getOrThrow(result);
  }

  private async getStatus(): Promise<object> {
    const [configuration, vms] = await Promise.all([
      this.getConfiguration(),
      this.getVms(),
    ]);
    return {configurationVersion: configuration.version, vms};
  }

  private async steer(
    request: Extract<operators.OperatorRequest, {kind: 'steer'}>,
  ): Promise<decisions.SteeringAnswer> {
    const {clientAddress, organisationId} = request;
    return await this.getContext()
      .services.getOrThrow(callersService.CALLERS)
      .ask(reply => ({kind: 'steer', clientAddress, organisationId, reply}));
  }

  private async explain(
    organisationId: string,
  ): Promise<readonly callersService.Refusal[]> {
    return await this.getContext()
      .services.getOrThrow(callersService.CALLERS)
      .ask(reply => ({kind: 'explain', organisationId, reply}));
  }

  private async preview({
    method,
    target,
    keyDigestHex,
    hasIdempotencyKey,
  }: operators.PreviewedRequest): Promise<previews.RequestPreview> {
    const request = {method, target, keyDigestHex, hasIdempotencyKey};
    return await this.getContext()
      .services.getOrThrow(callersService.CALLERS)
      .ask(reply => ({kind: 'preview', request, reply}));
  }
}

/** Returns a successful result unchanged. @throws BramleyrunError when the result is a failure. */
function getOrThrow<R extends {readonly kind: string}>(
  result: R | {readonly kind: 'failed'; readonly error: errors.BramleyrunError},
): R {
  if ('error' in result && result.error instanceof errors.BramleyrunError)
    throw result.error;
  return result as R;
}
