import * as codecs from '../../codecs/index.js';
import * as decisions from '../../decisions/index.js';
import * as kernel from '../../kernel/index.js';
import * as errors from '../../model/errors/index.js';
import type * as operations from '../../model/operations/index.js';
import type * as peers from '../../model/peers/index.js';
import type * as platform from '../../model/platform/index.js';
import * as base from '../base/index.js';
import * as peersService from '../peers/PeersMessage.js';
import * as platformService from '../platform/index.js';
import type * as attempts from './Attempt.js';
import * as writers from './ClaimWriter.js';
import type * as messages from './OperationsMessage.js';

const TICK_MS = 500;
const HOLDER_TIMEOUT_MS = 800;

/** How long in milliseconds an ended attempt is remembered, for repeats that ask its holder. */
const MEMORY_MS = 3_600_000;

/** How often a request looks again after the claim changed under it. */
const MAX_LOOKS = 4;

/** Makes sure that each action runs at most once, by claims in the platform's table. */
export class OperationsTask extends base.ServiceTask<messages.OperationsMessage> {
  private readonly processId: string;
  private readonly attempts = new Map<string, attempts.Attempt>();
  private readonly storing = new Set<string>();
  private drainReplies: kernel.Reply<void>[] = [];
  private writer: writers.ClaimWriter | undefined;
  private peersAddress = '';

  /** @param processId Names this process in its claims. */
  constructor(processId: string, advertisedPeersAddress: string | undefined) {
    super();
    this.processId = processId;
    this.peersAddress = advertisedPeersAddress ?? '';
  }

  protected override async onStart(): Promise<void> {
    const {services} = this.getContext();
    this.writer = new writers.ClaimWriter(services);
    if (this.peersAddress === '')
      this.peersAddress = await services
        .getOrThrow(peersService.PEERS)
        .ask<string>(reply => ({kind: 'getAddress', reply}));
    this.postEvery(TICK_MS, {kind: 'tick'});
  }

  protected override receive(message: messages.OperationsMessage): void {
    switch (message.kind) {
      case 'begin':
        void this.begin(message.request).then(message.reply);
        return;
      case 'dispatch':
        message.reply(this.mayDispatch(message.attemptId));
        return;
      case 'finish':
        this.finish(message.attemptId, message.outcome);
        return;
      case 'peerRequest': {
        const {attemptId, processId} = message.request;
        const report = this.getReport(attemptId, processId);
        message.reply({kind: 'claim', report});
        return;
      }
      case 'list':
        void this.list(message.limit).then(message.reply);
        return;
      case 'settle':
        void this.settle(message).then(message.reply);
        return;
      case 'tick':
        this.tick();
        return;
      case 'drain':
        this.drainReplies.push(message.reply);
        this.tick();
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private async begin(
    request: messages.OperationRequest,
  ): Promise<messages.BeginResult> {
    const rowKey = codecs.getClaimRowKey(
      request.organisationId,
      request.keyDigestHex,
    );
    try {
      return await this.claim(request, rowKey);
    } catch (thrown) {
      const {kind, message} = errors.toError(thrown);
      return {kind: 'refused', error: kind, message};
    }
  }

  /** Claims a free row at once, and otherwise looks at the existing claim. */
  private async claim(
    request: messages.OperationRequest,
    rowKey: string,
  ): Promise<messages.BeginResult> {
    let expectedVersion = 0;
    for (let look = 0; look < MAX_LOOKS; look += 1) {
      const written = await this.writeClaim(request, rowKey, expectedVersion);
      if (written.kind !== 'conflict') return toBeginResult(written);
      const row = await this.readClaim(rowKey);
      if (row === undefined) {
        expectedVersion = 0;
        continue;
      }
      const decision = await this.decideRepeat(request, row.claim);
      switch (decision.kind) {
        case 'replace':
          expectedVersion = row.rowVersion;
          break;
        case 'replay':
          this.count('claims_replayed');
          return {kind: 'replay', answer: decision.answer};
        case 'refuse':
          return {
            kind: 'refused',
            error: decision.error,
            message: decision.message,
          };
        case 'askHolder':
          throw new Error('a holder was asked already');
        default:
          return errors.throwUnreachable(decision);
      }
    }
    return {
      kind: 'refused',
      error: 'operationInProgress',
      message: 'other requests with this idempotency key came at the same time',
    };
  }

  private async decideRepeat(
    request: messages.OperationRequest,
    claim: operations.Claim,
  ): Promise<decisions.RepeatDecision> {
    const decision = decisions.decideRepeat(claim, request.requestDigestHex);
    if (decision.kind !== 'askHolder') return decision;
    return decisions.decideFromHolder(await this.askHolder(claim));
  }

  private async writeClaim(
    request: messages.OperationRequest,
    rowKey: string,
    expectedVersion: number,
  ): Promise<writers.ClaimResult> {
    const claim: operations.Claim = {
      organisationId: request.organisationId,
      keyDigestHex: request.keyDigestHex,
      requestDigestHex: request.requestDigestHex,
      attemptId: request.attemptId,
      processId: this.processId,
      peersAddress: this.peersAddress,
      dispatchDeadlineMs: request.dispatchDeadlineMs,
      state: {kind: 'claimed'},
    };
    this.attempts.set(request.attemptId, {
      rowKey,
      claim,
      rowVersion: undefined,
      state: {kind: 'claiming'},
      isUnstored: true,
      forgetAtMs: Infinity,
    });
    const writer = this.writer;
    if (writer === undefined) throw new Error('the task has not started');
    const result = await writer.write({rowKey, expectedVersion, claim});
    this.noteClaim(request.attemptId, result);
    return result;
  }

  private noteClaim(attemptId: string, result: writers.ClaimResult): void {
    switch (result.kind) {
      case 'claimed':
        this.count('claims_made');
        this.update(attemptId, {
          state: {kind: 'claimed'},
          rowVersion: result.rowVersion,
        });
        return;
      case 'conflict':
      case 'unavailable':
        this.attempts.delete(attemptId);
        return;
      case 'outcomeUnknown':
        this.log('warn', 'claimAbandoned', {attempt: attemptId});
        this.update(attemptId, {state: {kind: 'abandoned'}});
        return;
      default:
        errors.throwUnreachable(result);
    }
  }

  /** Whether the attempt may go out now; from here on it counts as dispatched. */
  private mayDispatch(attemptId: string): boolean {
    const attempt = this.attempts.get(attemptId);
    if (attempt === undefined || attempt.state.kind !== 'claimed') return false;
    const isInTime =
      this.getContext().clock.wallMs() < attempt.claim.dispatchDeadlineMs;
    this.update(attemptId, {
      state: isInTime ? {kind: 'dispatched'} : {kind: 'abandoned'},
    });
    return isInTime;
  }

  private finish(attemptId: string, outcome: decisions.DispatchOutcome): void {
    const end = decisions.decideClaimEnd(outcome);
    switch (end.kind) {
      case 'withdraw':
        this.update(attemptId, {state: {kind: 'abandoned'}});
        break;
      case 'write':
        this.update(attemptId, {
          state: end.state.kind === 'answered' ? end.state : {kind: 'unknown'},
        });
        break;
      default:
        errors.throwUnreachable(end);
    }
    void this.store(attemptId);
  }

  /** Tells the table how an attempt ended; a failure is made good by the next tick. */
  private async store(attemptId: string): Promise<void> {
    const attempt = this.attempts.get(attemptId);
    if (attempt === undefined || !attempt.isUnstored) return;
    if (this.storing.has(attemptId)) return;
    this.storing.add(attemptId);
    try {
      if (await this.isStored(attempt)) this.noteStored(attemptId);
    } finally {
      this.storing.delete(attemptId);
    }
  }

  private async isStored(attempt: attempts.Attempt): Promise<boolean> {
    const {rowKey} = attempt;
    const rows = await writers.readClaims(this.getContext().services, [rowKey]);
    if (rows === undefined) return false;
    const own = rows.find(
      row => row.claim.attemptId === attempt.claim.attemptId,
    );
    if (own === undefined || own.claim.state.kind !== 'claimed') return true;
    const result = await this.transact(
      own.rowKey,
      own.rowVersion,
      getEndWrite(attempt),
    );
    return result.kind === 'committed';
  }

  private noteStored(attemptId: string): void {
    const attempt = this.attempts.get(attemptId);
    if (attempt === undefined) return;
    const isWithdrawn = attempt.state.kind === 'abandoned';
    this.log('debug', isWithdrawn ? 'claimWithdrawn' : 'outcomeStored', {
      attempt: attemptId,
    });
    const nowMs = this.nowMs();
    this.update(attemptId, {
      isUnstored: false,
      forgetAtMs: nowMs + MEMORY_MS,
    });
    this.answerDrains();
  }

  private tick(): void {
    const nowMs = this.nowMs();
    for (const [attemptId, attempt] of this.attempts) {
      if (attempt.forgetAtMs <= nowMs) this.attempts.delete(attemptId);
      else if (isEnded(attempt)) void this.store(attemptId);
    }
    this.answerDrains();
  }

  private answerDrains(): void {
    const isBusy = [...this.attempts.values()].some(
      attempt => attempt.isUnstored && attempt.state.kind !== 'abandoned',
    );
    if (isBusy) return;
    for (const reply of this.drainReplies) reply();
    this.drainReplies = [];
  }

  private async askHolder(
    claim: operations.Claim,
  ): Promise<decisions.HolderReport> {
    if (claim.processId === this.processId)
      return this.getReport(claim.attemptId, claim.processId);
    const {services, clock} = this.getContext();
    const {attemptId, processId} = claim;
    const deadlineMs = clock.monotonicMs() + HOLDER_TIMEOUT_MS;
    const result = await services
      .getOrThrow(peersService.PEERS)
      .ask<peersService.CallResult>(reply => ({
        kind: 'call',
        peersAddress: claim.peersAddress,
        request: {kind: 'askClaim', attemptId, processId},
        deadlineMs,
        reply,
      }));
    if (result.kind === 'connectionRefused') return {kind: 'gone'};
    if (result.kind !== 'answered' || result.answer.kind !== 'claim')
      return {kind: 'unreachable'};
    return result.answer.report;
  }

  /** Says what became of an attempt; one that is not known has just been stored. */
  private getReport(attemptId: string, processId: string): peers.ClaimReport {
    if (processId !== this.processId) return {kind: 'gone'};
    const state = this.attempts.get(attemptId)?.state;
    switch (state?.kind) {
      case undefined:
      case 'claiming':
      case 'claimed':
      case 'dispatched':
        return {kind: 'inProgress'};
      case 'answered':
        return {kind: 'answered', answer: state.answer};
      case 'abandoned':
        return {kind: 'abandoned'};
      case 'unknown':
        return {kind: 'unknown'};
    }
  }

  private async readClaim(
    rowKey: string,
  ): Promise<writers.ClaimRow | undefined> {
    const rows = await writers.readClaims(this.getContext().services, [rowKey]);
    if (rows === undefined)
      return errors.throwError(
        'platformUnavailable',
        'the claim could not be read',
      );
    return rows[0];
  }

  private async list(limit: number): Promise<messages.OperationsResult> {
    const {services} = this.getContext();
    const rows = await writers.readAllClaims(services, limit);
    if (rows === undefined) return getFailure();
    return {kind: 'claims', claims: rows.map(row => row.claim)};
  }

  private async settle(
    command: Extract<messages.OperationsMessage, {kind: 'settle'}>,
  ): Promise<messages.SettleResult> {
    const {organisationId, keyDigestHex, operatorId, hasRun} = command;
    const {services, clock} = this.getContext();
    const rowKey = codecs.getClaimRowKey(organisationId, keyDigestHex);
    const rows = await writers.readClaims(services, [rowKey]);
    if (rows === undefined) return getFailure();
    const [row] = rows;
    if (row === undefined) return getSettleError('notFound', 'no such claim');
    if (!decisions.isSettleable(row.claim, clock.wallMs()))
      return getSettleError(
        'forbidden',
        'only an unknown outcome can be settled, and only after its deadline',
      );
    const state = {kind: 'settled', operatorId, hasRun} as const;
    const value = JSON.stringify({...row.claim, state});
    const write = {kind: 'put', key: rowKey, value} as const;
    const result = await this.transact(rowKey, row.rowVersion, write);
    if (result.kind === 'committed') return {kind: 'settled'};
    return getSettleError('versionConflict', `the table said ${result.kind}`);
  }

  private async transact(
    key: string,
    version: number,
    write: platform.TableWrite,
  ): Promise<platform.TransactionResult> {
    return await this.getService(
      platformService.PLATFORM,
    ).ask<platform.TransactionResult>(reply => ({
      kind: 'transact',
      transaction: {checks: [{key, version}], writes: [write]},
      reply,
    }));
  }

  private update(attemptId: string, change: Partial<attempts.Attempt>): void {
    const attempt = this.attempts.get(attemptId);
    if (attempt === undefined) return;
    this.attempts.set(attemptId, {...attempt, ...change});
  }
}

function toBeginResult(
  result: Exclude<writers.ClaimResult, {kind: 'conflict'}>,
): messages.BeginResult {
  switch (result.kind) {
    case 'claimed':
      return {kind: 'proceed'};
    case 'unavailable':
    case 'outcomeUnknown':
      return {
        kind: 'refused',
        error: 'platformUnavailable',
        message: 'the claim could not be made, so nothing was run',
      };
    default:
      return errors.throwUnreachable(result);
  }
}

function isEnded(attempt: attempts.Attempt): boolean {
  switch (attempt.state.kind) {
    case 'claiming':
    case 'claimed':
    case 'dispatched':
      return false;
    case 'answered':
    case 'abandoned':
    case 'unknown':
      return true;
    default:
      return errors.throwUnreachable(attempt.state);
  }
}

function getEndWrite(attempt: attempts.Attempt): platform.TableWrite {
  const {rowKey, claim, state} = attempt;
  switch (state.kind) {
    case 'answered':
    case 'unknown':
      return {
        kind: 'put',
        key: rowKey,
        value: JSON.stringify({...claim, state}),
      };
    case 'abandoned':
    case 'claiming':
    case 'claimed':
    case 'dispatched':
      return {kind: 'delete', key: rowKey};
    default:
      return errors.throwUnreachable(state);
  }
}

function getFailure(): Extract<messages.SettleResult, {kind: 'failed'}> {
  return getSettleError('platformUnavailable', 'the table gives no rows');
}

function getSettleError(
  kind: errors.ErrorKind,
  message: string,
): Extract<messages.SettleResult, {kind: 'failed'}> {
  return {kind: 'failed', error: errors.getError(kind, message)};
}
