package calicovale.manager;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;

/**
 * Installs handlers of operating system signals. The JDK offers only {@code sun.misc.Signal}, for which the
 * compiler emits a warning that cannot be suppressed, so it is used by reflection, as in terminal libraries.
 */
final class SignalHandlers {

    private SignalHandlers() {}

    /**
     * Runs {@code action} on a separate thread whenever the signal arrives.
     *
     * @param signalName name without the prefix SIG, such as {@code HUP}
     */
    static void on(String signalName, Runnable action) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object handler = Proxy.newProxyInstance(
                    handlerClass.getClassLoader(), new Class<?>[] {handlerClass}, (self, method, args) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                            return null;
                        }
                        return method.getName().equals("equals")
                                ? (Object) (self == args[0])
                                : method.getName().equals("hashCode")
                                        ? (Object) System.identityHashCode(self)
                                        : signalName;
                    });
            signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(null, signalClass.getConstructor(String.class).newInstance(signalName), handler);
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException e) {
            throw new IllegalStateException("handler for signal " + signalName + " cannot be installed", e);
        }
    }
}
