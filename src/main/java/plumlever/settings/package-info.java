/**
 * The platform's settings file (TOML), the operators' settings (YAML), and the tunable values.
 *
 * <p>Knows nothing of what the settings are used for.
 */
package plumlever.settings;
