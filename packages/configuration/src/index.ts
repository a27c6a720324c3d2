export type * from './commands.ts';
export * from './confirmation-ledger.ts';
export {ConfigurationView, type UpdateOutcome} from './configuration-view.ts';
export {
	decodeConfiguration,
	encodeConfiguration,
} from './encode-configuration.ts';
export {
	createLeaseState,
	DEFAULT_LEASE_SETTINGS,
	isLeaseValid,
	type LeaseAction,
	type LeaseEvent,
	type LeaseSettings,
	type LeaseState,
	stepLease,
} from './lease.ts';
export {
	MAX_RESOURCE_FILE_BYTES,
	parseResources,
	validateResource,
} from './parse-resources.ts';
export {
	type ApplyPlan,
	planApply,
	type ResourceDifference,
} from './plan-apply.ts';
export {
	type DaemonConfirmation,
	evaluatePropagation,
	type Propagation,
	type RegistrarAcknowledgement,
} from './propagation.ts';
export {
	createRegistrarLease,
	grantLease,
	type LeaseGrant,
	type ProcessTime,
	readElapsedMs,
	type RegistrarConfirmation,
	type RegistrarLeaseState,
	applyConfirmation,
} from './registrar-lease.ts';
export type * from './resources.ts';
export {RESOURCE_KINDS, resourceSchema} from './schemas.ts';
export {
	applyLabelRules,
	limitBudget,
	type CallTarget,
	isLabelledLeaving,
	matchesLabels,
	servesTarget,
} from './selectors.ts';
export {
	changesSince,
	configurationDigest,
	type ConfigurationState,
	type ConfigurationUpdate,
	createConfigurationState,
	MAX_RECORDED_OPERATIONS,
	listResources,
} from './state.ts';
export {stepConfiguration} from './step-configuration.ts';
